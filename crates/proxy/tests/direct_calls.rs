//! Every way in which up to two of a session's calls to its server can fail or be cancelled: a write runs once, what the
//! client is told is true, and no connection is used while a reply is pending on it.
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

/// What becomes of one call; one without a reply may be waited for or cancelled.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Answered,
    Busy,
    NotPrimary,
    DisconnectBefore,
    DisconnectAfter,
    NoReply,
    Cancelled,
}

const FAULTS: [Fate; 6] = [
    Fate::Busy,
    Fate::NotPrimary,
    Fate::DisconnectBefore,
    Fate::DisconnectAfter,
    Fate::NoReply,
    Fate::Cancelled,
];
/// Calls of one run whose fate is chosen.
const CALLS: usize = 5;

impl Fate {
    fn fault(self) -> Fault {
        match self {
            Fate::Answered => Fault::None,
            Fate::Busy => Fault::Reject(RejectReason::Busy),
            Fate::NotPrimary => Fault::Reject(RejectReason::NotPrimary),
            Fate::DisconnectBefore => Fault::DisconnectBefore,
            Fate::DisconnectAfter => Fault::DisconnectAfter,
            Fate::NoReply | Fate::Cancelled => Fault::NoReply,
        }
    }
}

/// All sequences of fates with at most two faults among the first calls.
fn all_fates() -> Vec<Vec<Fate>> {
    let mut all = vec![vec![Fate::Answered; CALLS]];
    for first in 0..CALLS {
        for fault in FAULTS {
            let mut one = vec![Fate::Answered; CALLS];
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

/// The units of work that sessions do; the mark tells the texts of one unit from another's.
fn units(mark: &str) -> Vec<Vec<SessionCommand>> {
    let begin = || SessionCommand::Begin { read: false };
    vec![
        vec![write(mark)],
        vec![read(mark)],
        prepare_and_execute(mark).to_vec(),
        vec![begin(), write(mark), SessionCommand::Commit],
        vec![begin(), read(mark), write(mark), SessionCommand::Commit],
        vec![begin(), write(mark), SessionCommand::Rollback],
    ]
}

struct Run<'a> {
    world: &'a VirtualWorld,
    fixture: &'a Fixture,
    fates: &'a [Fate],
}

impl Run<'_> {
    /// Calls whose fate was used so far.
    fn calls(&self) -> usize {
        let left = self.fixture.group.with_server("s1", |server| server.faults.len());
        CALLS - left.min(CALLS)
    }

    /// Carries one command out; `None` where it was cancelled.
    fn step(&self, session: &mut DirectSession, command: SessionCommand) -> Option<StatementResponse> {
        let before = Cell::new(self.calls());
        let cancelled = || {
            let used = self.calls();
            let fates = &self.fates[before.get().min(used)..used];
            before.set(used);
            fates.contains(&Fate::Cancelled)
        };
        self.world.run(execute(session, command), cancelled)
    }

    fn times_committed(&self, text: &str) -> usize {
        self.fixture.committed().iter().filter(|committed| *committed == text).count()
    }

    fn times_run(&self, text: &str) -> usize {
        let ran = ["s1", "s2", "s3"].iter().flat_map(|server| self.fixture.ran(server));
        ran.filter(|ran| ran.starts_with(text)).count()
    }

    /// Carries the commands out up to the first that fails; the response to the last, unless it was cancelled.
    fn unit(&self, session: &mut DirectSession, commands: &[SessionCommand]) -> Option<StatementResponse> {
        let mut last = None;
        for command in commands {
            last = self.step(session, command.clone());
            if last.as_ref().is_none_or(|response| response.result.is_err()) {
                break;
            }
        }
        last
    }

    fn check(&self, mark: &str, commands: &[SessionCommand], response: Option<&StatementResponse>) {
        let text = format!("WRITE {mark}");
        let (committed, ran) = (self.times_committed(&text), self.times_run(&text));
        let fates = self.fates;
        let what = || format!("{commands:?}, {fates:?}, {response:?}: ran {ran}, committed {committed}");
        assert!(ran <= 1 && committed <= 1, "{}", what());
        let Some(response) = response else { return };
        let writes = commands.contains(&write(mark));
        match (&response.result, commands.last()) {
            (Ok(_), Some(SessionCommand::Rollback)) => assert_eq!(committed, 0, "{}", what()),
            (Ok(_), _) if writes => assert_eq!(committed, 1, "{}", what()),
            (Err(StatementError::Proxy(error)), _) if error.outcome == Outcome::NotApplied => {
                assert_eq!(committed, 0, "{}", what());
            }
            _ => {}
        }
    }

    /// After a failed or cancelled step the client ends its transaction, as it must before it goes on.
    fn end_transaction(&self, session: &mut DirectSession) {
        if session.transaction_state() != TransactionState::Idle {
            let response = self.step(session, SessionCommand::Rollback);
            assert!(response.is_none_or(|response| response.result.is_ok()));
        }
        assert_eq!(session.transaction_state(), TransactionState::Idle);
    }
}

fn play(fates: &[Fate], first: &[SessionCommand], second: &[SessionCommand]) {
    let world = VirtualWorld::default();
    let fixture = world.enter(Fixture::new);
    fates.iter().for_each(|fate| fixture.inject("s1", fate.fault()));
    let run = Run { world: &world, fixture: &fixture, fates };
    let mut session = world.run(fixture.session("orders"), || false).unwrap();
    for (mark, commands) in [("a", first), ("b", second)] {
        let response = run.unit(&mut session, commands);
        let begun = commands.first().is_some_and(|command| matches!(command, SessionCommand::Begin { .. }));
        if response.is_none() && begun && !matches!(commands.last(), Some(SessionCommand::Rollback)) {
            let state = session.transaction_state();
            assert_ne!(state, TransactionState::Open, "a cancelled step leaves no transaction open");
        }
        run.check(mark, commands, response.as_ref());
        run.end_transaction(&mut session);
    }
    // The connections that are left serve other sessions.
    fixture.group.with_server("s1", |server| server.faults.clear());
    let mut other = world.run(fixture.session("orders"), || false).unwrap();
    let response = run.step(&mut other, write("z")).unwrap();
    let committed = run.times_committed("WRITE z");
    assert!(response.result.is_ok() && committed == 1, "fates {fates:?}: {response:?}");
    world.enter(|| drop((session, other, fixture)));
}

#[test]
fn a_write_runs_once_and_its_response_is_true_when_calls_fail_or_are_cancelled() {
    for fates in all_fates() {
        for first in units("a") {
            for second in units("b") {
                play(&fates, &first, &second);
            }
        }
    }
}

/// The next statement must not run by itself.
#[test]
fn nothing_runs_outside_the_transaction_when_one_of_its_steps_was_cancelled() {
    let world = VirtualWorld::default();
    let fixture = world.enter(Fixture::new);
    fixture.inject("s1", Fault::NoReply);
    let mut session = world.run(fixture.session("orders"), || false).unwrap();
    let begin = SessionCommand::Begin { read: false };
    assert!(world.run(execute(&mut session, begin), || false).is_some());
    assert!(world.run(execute(&mut session, write("a")), || true).is_none());
    assert_eq!(session.transaction_state(), TransactionState::Failed);
    let response = world.run(execute(&mut session, write("b")), || false).unwrap();
    assert!(response.result.is_err());
    assert_eq!(fixture.committed(), Vec::<String>::new());
    world.enter(|| drop((session, fixture)));
}
