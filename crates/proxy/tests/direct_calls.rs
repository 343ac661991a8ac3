//! Runs sessions with every combination of up to two failed or cancelled server calls. Checks that a write runs at most
//! once, that responses report its outcome correctly, and that no connection is used while a reply is pending on it.
#[allow(dead_code, reason = "each test file uses a part of the fake servers")]
mod fake_servers;
mod virtual_time;

use bytes::Bytes;
use fake_servers::{Fault, Fixture, execute, read, write};
use quincehatch_core::Outcome;
use quincehatch_proxy::direct::{DirectSession, SessionCommand, StatementError, StatementResponse};
use quincehatch_proxy::ports::{RejectReason, TransactionState};
use std::cell::Cell;
use virtual_time::VirtualWorld;

/// The outcome of one call to the server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum CallOutcome {
    Succeeded,
    Busy,
    NotPrimary,
    DisconnectBefore,
    DisconnectAfter,
    /// No reply arrives, and the session waits until its timeout.
    NoReply,
    /// No reply arrives, and the command is cancelled.
    Cancelled,
}

const FAULTS: [CallOutcome; 6] = [
    CallOutcome::Busy,
    CallOutcome::NotPrimary,
    CallOutcome::DisconnectBefore,
    CallOutcome::DisconnectAfter,
    CallOutcome::NoReply,
    CallOutcome::Cancelled,
];
/// The number of calls of one run whose outcome is chosen.
const CALLS: usize = 5;

impl CallOutcome {
    fn fault(self) -> Fault {
        match self {
            CallOutcome::Succeeded => Fault::None,
            CallOutcome::Busy => Fault::Reject(RejectReason::Busy),
            CallOutcome::NotPrimary => Fault::Reject(RejectReason::NotPrimary),
            CallOutcome::DisconnectBefore => Fault::DisconnectBefore,
            CallOutcome::DisconnectAfter => Fault::DisconnectAfter,
            CallOutcome::NoReply | CallOutcome::Cancelled => Fault::NoReply,
        }
    }
}

/// Returns all sequences of [`CALLS`] outcomes with at most two faults.
fn all_outcome_sequences() -> Vec<Vec<CallOutcome>> {
    let mut all = vec![vec![CallOutcome::Succeeded; CALLS]];
    for first in 0..CALLS {
        for fault in FAULTS {
            let mut one = vec![CallOutcome::Succeeded; CALLS];
            one[first] = fault;
            all.push(one.clone());
            for second in first + 1..CALLS {
                for other in FAULTS {
                    let mut two = one.clone();
                    two[second] = other;
                    all.push(two);
                }
            }
        }
    }
    all
}

fn prepare_and_execute(name: &str) -> [SessionCommand; 2] {
    let name = Bytes::copy_from_slice(name.as_bytes());
    let template = Bytes::from_static(b"READ shape");
    [
        SessionCommand::Prepare { name: name.clone(), write: false, template },
        SessionCommand::Execute { name, arguments: Bytes::from_static(b"x") },
    ]
}

/// Returns the units of work that sessions run: single statements and transactions. `mark` makes the texts of a unit
/// unique.
fn work_units(mark: &str) -> Vec<Vec<SessionCommand>> {
    let begin = || SessionCommand::Begin { read_only: false };
    vec![
        vec![write(mark)],
        vec![read(mark)],
        prepare_and_execute(mark).to_vec(),
        vec![begin(), write(mark), SessionCommand::Commit],
        vec![begin(), read(mark), write(mark), SessionCommand::Commit],
        vec![begin(), write(mark), SessionCommand::Rollback],
    ]
}

struct Scenario<'a> {
    world: &'a VirtualWorld,
    fixture: &'a Fixture,
    outcomes: &'a [CallOutcome],
}

impl Scenario<'_> {
    /// Returns the number of calls whose chosen outcome was used so far.
    fn used_calls(&self) -> usize {
        let left = self.fixture.group.with_server("s1", |server| server.faults.len());
        CALLS - left.min(CALLS)
    }

    /// Executes one command. Returns `None` if it was cancelled.
    fn execute_command(
        &self,
        session: &mut DirectSession,
        command: SessionCommand,
    ) -> Option<StatementResponse> {
        let before = Cell::new(self.used_calls());
        let cancelled = || {
            let used = self.used_calls();
            let outcomes = &self.outcomes[before.get().min(used)..used];
            before.set(used);
            outcomes.contains(&CallOutcome::Cancelled)
        };
        self.world.run(execute(session, command), cancelled)
    }

    fn commit_count(&self, text: &str) -> usize {
        self.fixture.committed().iter().filter(|committed| *committed == text).count()
    }

    fn run_count(&self, text: &str) -> usize {
        let ran = ["s1", "s2", "s3"].iter().flat_map(|server| self.fixture.ran(server));
        ran.filter(|ran| ran.starts_with(text)).count()
    }

    /// Executes the commands up to the first that fails. Returns the response to the last one, unless it was cancelled.
    fn run_unit(
        &self,
        session: &mut DirectSession,
        commands: &[SessionCommand],
    ) -> Option<StatementResponse> {
        let mut last = None;
        for command in commands {
            last = self.execute_command(session, command.clone());
            if last.as_ref().is_none_or(|response| response.result.is_err()) {
                break;
            }
        }
        last
    }

    /// Checks that the write of a unit ran at most once, and that the response agrees with what was committed.
    fn check(&self, mark: &str, commands: &[SessionCommand], response: Option<&StatementResponse>) {
        let text = format!("WRITE {mark}");
        let (committed, ran) = (self.commit_count(&text), self.run_count(&text));
        let outcomes = self.outcomes;
        let describe =
            || format!("{commands:?}, {outcomes:?}, {response:?}: ran {ran}, committed {committed}");
        assert!(ran <= 1 && committed <= 1, "{}", describe());
        let Some(response) = response else { return };
        let writes = commands.contains(&write(mark));
        match (&response.result, commands.last()) {
            (Ok(_), Some(SessionCommand::Rollback)) => assert_eq!(committed, 0, "{}", describe()),
            (Ok(_), _) if writes => assert_eq!(committed, 1, "{}", describe()),
            (Err(StatementError::Proxy(error)), _) if error.outcome == Outcome::NotApplied => {
                assert_eq!(committed, 0, "{}", describe());
            }
            _ => {}
        }
    }

    /// Rolls back the transaction that a failed or cancelled command has left, as a client must before it continues.
    fn end_transaction(&self, session: &mut DirectSession) {
        if session.transaction_state() != TransactionState::Idle {
            let response = self.execute_command(session, SessionCommand::Rollback);
            assert!(response.is_none_or(|response| response.result.is_ok()));
        }
        assert_eq!(session.transaction_state(), TransactionState::Idle);
    }
}

/// Runs two units in one session while calls have the given outcomes, then a write in another session.
fn run_scenario(outcomes: &[CallOutcome], first: &[SessionCommand], second: &[SessionCommand]) {
    let world = VirtualWorld::default();
    let fixture = world.enter(Fixture::new);
    outcomes.iter().for_each(|call_outcome| fixture.inject("s1", call_outcome.fault()));
    let scenario = Scenario { world: &world, fixture: &fixture, outcomes };
    let mut session = world.run(fixture.session("orders"), || false).unwrap();
    for (mark, commands) in [("a", first), ("b", second)] {
        let response = scenario.run_unit(&mut session, commands);
        let begun = commands.first().is_some_and(|command| matches!(command, SessionCommand::Begin { .. }));
        if response.is_none() && begun && !matches!(commands.last(), Some(SessionCommand::Rollback)) {
            let state = session.transaction_state();
            assert_ne!(state, TransactionState::Open, "a cancelled command left a transaction open");
        }
        scenario.check(mark, commands, response.as_ref());
        scenario.end_transaction(&mut session);
    }
    // The remaining connections must be usable by other sessions.
    fixture.group.with_server("s1", |server| server.faults.clear());
    let mut other = world.run(fixture.session("orders"), || false).unwrap();
    let response = scenario.execute_command(&mut other, write("z")).unwrap();
    let committed = scenario.commit_count("WRITE z");
    assert!(response.result.is_ok() && committed == 1, "outcomes {outcomes:?}: {response:?}");
    world.enter(|| drop((session, other, fixture)));
}

#[test]
fn a_write_runs_at_most_once_and_its_response_is_correct_when_calls_fail_or_are_cancelled() {
    for outcomes in all_outcome_sequences() {
        for first in work_units("a") {
            for second in work_units("b") {
                run_scenario(&outcomes, &first, &second);
            }
        }
    }
}

/// A statement that follows a cancelled one must not run and commit outside the transaction.
#[test]
fn no_statement_runs_outside_the_transaction_after_one_in_it_was_cancelled() {
    let world = VirtualWorld::default();
    let fixture = world.enter(Fixture::new);
    fixture.inject("s1", Fault::NoReply);
    let mut session = world.run(fixture.session("orders"), || false).unwrap();
    let begin = SessionCommand::Begin { read_only: false };
    assert!(world.run(execute(&mut session, begin), || false).is_some());
    assert!(world.run(execute(&mut session, write("a")), || true).is_none());
    assert_eq!(session.transaction_state(), TransactionState::Failed);
    let response = world.run(execute(&mut session, write("b")), || false).unwrap();
    assert!(response.result.is_err());
    assert_eq!(fixture.committed(), Vec::<String>::new());
    world.enter(|| drop((session, fixture)));
}
