//! Every way in which up to two of a session's calls to its server can fail or be cancelled (§4.10): a write runs once,
//! what is told is true, and no link is used while an answer is owed on it.
mod fake;
mod virtual_time;

use bytes::Bytes;
use fake::{Fault, Kit, ask, read, write};
use quincehatch_core::Outcome;
use quincehatch_proxy::direct::DirectSession;
use quincehatch_proxy::direct::{SessionCommand, StatementError, StatementResponse};
use quincehatch_proxy::ports::{RejectReason, TransactionState};
use std::cell::Cell;
use virtual_time::Virtual;

/// What becomes of one call; a silent one may be waited for or cancelled.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Run,
    Busy,
    NotLead,
    Cut,
    Lose,
    Silent,
    Cancelled,
}

const FAULTS: [Fate; 6] = [Fate::Busy, Fate::NotLead, Fate::Cut, Fate::Lose, Fate::Silent, Fate::Cancelled];
/// Calls of one run whose fate is chosen.
const CALLS: usize = 5;

impl Fate {
    fn fault(self) -> Fault {
        match self {
            Fate::Run => Fault::Run,
            Fate::Busy => Fault::Decline(RejectReason::Busy),
            Fate::NotLead => Fault::Decline(RejectReason::NotPrimary),
            Fate::Cut => Fault::Cut,
            Fate::Lose => Fault::Lose,
            Fate::Silent | Fate::Cancelled => Fault::Silent,
        }
    }
}

/// All runs with at most two faults among the first calls.
fn fates() -> Vec<Vec<Fate>> {
    let mut all = vec![vec![Fate::Run; CALLS]];
    for first in 0..CALLS {
        for fault in FAULTS {
            let mut one = vec![Fate::Run; CALLS];
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

fn execute(name: &str) -> [SessionCommand; 2] {
    let name = Bytes::copy_from_slice(name.as_bytes());
    let shape = Bytes::from_static(b"READ shape");
    [
        SessionCommand::Prepare { name: name.clone(), write: false, template: shape },
        SessionCommand::Execute { name, arguments: Bytes::from_static(b"x") },
    ]
}

/// What sessions do; the mark tells the texts of one unit from another's.
fn units(mark: &str) -> Vec<Vec<SessionCommand>> {
    let begin = || SessionCommand::Begin { read: false };
    vec![
        vec![write(mark)],
        vec![read(mark)],
        execute(mark).to_vec(),
        vec![begin(), write(mark), SessionCommand::Commit],
        vec![begin(), read(mark), write(mark), SessionCommand::Commit],
        vec![begin(), write(mark), SessionCommand::Rollback],
    ]
}

struct Run<'a> {
    world: &'a Virtual,
    kit: &'a Kit,
    fates: &'a [Fate],
}

impl Run<'_> {
    /// Calls whose fate was taken so far.
    fn calls(&self) -> usize {
        CALLS - self.kit.group.0.lock().unwrap().srv["s1"].faults.len().min(CALLS)
    }
    /// None where it was cancelled.
    fn one(&self, session: &mut DirectSession, wish: SessionCommand) -> Option<StatementResponse> {
        let before = Cell::new(self.calls());
        let cancelled = || {
            let taken = self.calls();
            let fates = &self.fates[before.get().min(taken)..taken];
            before.set(taken);
            fates.contains(&Fate::Cancelled)
        };
        self.world.run(ask(session, wish), cancelled)
    }
    fn kept(&self, text: &str) -> usize {
        self.kit.kept().iter().filter(|kept| *kept == text).count()
    }
    fn ran(&self, text: &str) -> usize {
        ["s1", "s2", "s3"].iter().flat_map(|s| self.kit.ran(s)).filter(|ran| ran.starts_with(text)).count()
    }
    /// Runs the wishes; what was told of the last one, if all came that far.
    fn unit(&self, session: &mut DirectSession, wishes: &[SessionCommand]) -> Option<StatementResponse> {
        let mut last = None;
        for wish in wishes {
            last = self.one(session, wish.clone());
            if last.as_ref().is_none_or(|told| told.result.is_err()) {
                break;
            }
        }
        last
    }
}

fn check(run: &Run<'_>, mark: &str, wishes: &[SessionCommand], told: Option<&StatementResponse>) {
    let text = format!("WRITE {mark}");
    let (kept, ran) = (run.kept(&text), run.ran(&text));
    let said = || format!("{wishes:?}, fates {:?}, told {told:?}: ran {ran}, kept {kept}", run.fates);
    assert!(ran <= 1 && kept <= 1, "{}", said());
    let Some(told) = told else { return };
    let writes = wishes.contains(&write(mark));
    match (&told.result, wishes.last()) {
        (Ok(_), Some(SessionCommand::Rollback)) => assert_eq!(kept, 0, "{}", said()),
        (Ok(_), _) if writes => assert_eq!(kept, 1, "{}", said()),
        (Err(StatementError::Proxy(error)), _) if error.outcome == Outcome::NotApplied => {
            assert_eq!(kept, 0, "{}", said())
        }
        _ => {}
    }
}

/// After a failed or cancelled step the origin ends its transaction, as it must before it goes on.
fn end(run: &Run<'_>, session: &mut DirectSession) {
    if session.transaction_state() != TransactionState::Idle {
        let told = run.one(session, SessionCommand::Rollback);
        assert!(told.is_none_or(|told| told.result.is_ok()));
    }
    assert_eq!(session.transaction_state(), TransactionState::Idle);
}

fn play(fates: &[Fate], first: &[SessionCommand], second: &[SessionCommand]) {
    let world = Virtual::default();
    let kit = world.enter(Kit::new);
    fates.iter().for_each(|fate| kit.fault("s1", fate.fault()));
    let run = Run { world: &world, kit: &kit, fates };
    let mut session = world.run(kit.session("orders"), || false).unwrap();
    for (mark, wishes) in [("a", first), ("b", second)] {
        let told = run.unit(&mut session, wishes);
        let begun = wishes.first().is_some_and(|wish| matches!(wish, SessionCommand::Begin { .. }));
        if told.is_none() && begun && !matches!(wishes.last(), Some(SessionCommand::Rollback)) {
            assert_ne!(
                session.transaction_state(),
                TransactionState::Open,
                "a cancelled step leaves no transaction open"
            );
        }
        check(&run, mark, wishes, told.as_ref());
        end(&run, &mut session);
    }
    // The links that are left serve others.
    kit.group.0.lock().unwrap().srv.get_mut("s1").unwrap().faults.clear();
    let mut other = world.run(kit.session("orders"), || false).unwrap();
    let told = run.one(&mut other, write("z")).unwrap();
    assert!(told.result.is_ok() && run.kept("WRITE z") == 1, "fates {fates:?}: {told:?}");
    world.enter(|| drop((session, other, kit)));
}

#[test]
fn a_write_runs_once_and_what_is_told_is_true_whatever_fails_or_is_cancelled() {
    for fates in fates() {
        for first in units("a") {
            for second in units("b") {
                play(&fates, &first, &second);
            }
        }
    }
}

/// A step of a transaction that is cancelled must not let the next statement run by itself.
#[test]
fn nothing_runs_outside_a_transaction_whose_step_was_cancelled() {
    let world = Virtual::default();
    let kit = world.enter(Kit::new);
    kit.fault("s1", Fault::Silent);
    let mut session = world.run(kit.session("orders"), || false).unwrap();
    assert!(world.run(ask(&mut session, SessionCommand::Begin { read: false }), || false).is_some());
    assert!(world.run(ask(&mut session, write("a")), || true).is_none());
    assert_eq!(session.transaction_state(), TransactionState::Failed);
    let told = world.run(ask(&mut session, write("b")), || false).unwrap();
    assert!(told.result.is_err());
    assert_eq!(kit.kept(), Vec::<String>::new());
    world.enter(|| drop((session, kit)));
}
