//! Origins, as the platform's clients are: operations one after the other on a session, and a whole operation again,
//! under new ids, where the first surely kept nothing.
use super::book::Asked;
use super::conn::{ClientConnection, Ended, connect};
use super::laid::Laid;
use quincehatch_core::Millis;
use quincehatch_proxy::direct::SessionCommand;
use quincehatch_proxy::ports::TransactionState;
use quincehatch_runtime::{now, seam};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// An operation is tried again until then.
const DEADLINE: Millis = 2_500;

impl ClientConnection {
    async fn single(&mut self) -> Ended {
        let (id, write, told) = self.statement(None, None).await;
        let writes: &[u64] = if write { &[id] } else { &[] };
        let ended = self.note(id, write, writes, &told);
        self.dead |= told.is_some_and(|t| t.transaction_state != TransactionState::Idle);
        ended
    }

    async fn run_transaction(&mut self) -> Ended {
        let (no, read, from) = (self.next(), fastrand::u64(0..3) == 0, self.at());
        let Some(t) = self.ask(no, SessionCommand::Begin { read }).await else { return Ended::Over };
        if t.result.is_err() {
            return Ended::Again;
        }
        let mut writes = Vec::new();
        for _ in 0..fastrand::u64(0..5) {
            seam::sleep(Duration::from_millis(fastrand::u64(0..60))).await;
            if fastrand::u64(0..20) == 0 {
                self.change_session_state().await;
                if self.dead {
                    return Ended::Over;
                }
            }
            let (id, write, told) = self.statement(Some((no, read)), Some(from)).await;
            writes.extend(write.then_some(id));
            match self.note(id, false, &writes, &told) {
                Ended::Good => {}
                ended => {
                    if told.is_some_and(|t| t.transaction_state != TransactionState::Idle) {
                        self.dead |= self
                            .ask(no, SessionCommand::Rollback)
                            .await
                            .is_none_or(|t| t.transaction_state != TransactionState::Idle);
                    }
                    // Its commit was not sent.
                    return if ended == Ended::Over { Ended::Again } else { ended };
                }
            }
        }
        match fastrand::u64(0..20) {
            0 => {
                self.dead = true;
                return Ended::Over;
            }
            1 | 2 => {
                self.dead |= self
                    .ask(no, SessionCommand::Rollback)
                    .await
                    .is_none_or(|t| t.transaction_state != TransactionState::Idle);
                return Ended::Good;
            }
            _ => {}
        }
        let id = self.next();
        let txn = Some((no, read));
        self.register(id, Asked { txn, commit: true, order: self.order, from, ..Asked::default() });
        let told = self.ask(id, SessionCommand::Commit).await;
        self.dead |= told.as_ref().is_some_and(|t| t.transaction_state != TransactionState::Idle);
        self.note(id, !writes.is_empty(), &writes, &told)
    }
}

/// One origin, until it is told to stop.
pub async fn run(l: Arc<Laid>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::SeqCst) {
        let n = l.nodes[fastrand::usize(0..l.nodes.len())].clone();
        let order = fastrand::u64(0..10) < 7;
        let Some(mut c) = connect(&l, &n, order).await else {
            seam::sleep(Duration::from_millis(fastrand::u64(50..300))).await;
            continue;
        };
        for _ in 0..fastrand::u64(1..30) {
            if c.dead || stop.load(Ordering::SeqCst) {
                break;
            }
            seam::sleep(Duration::from_millis(fastrand::u64(5..150))).await;
            if fastrand::u64(0..8) == 0 {
                c.change_session_state().await;
            }
            let (single, began) = (fastrand::u64(0..3) > 0, now());
            while !c.dead {
                let ended = if single { c.single().await } else { c.run_transaction().await };
                if ended != Ended::Again || now() > began + DEADLINE {
                    break;
                }
                seam::sleep(Duration::from_millis(fastrand::u64(20..120))).await;
            }
        }
    }
}
