//! Origins, as the platform's clients are: operations one after the other on a session, and a whole operation again,
//! under new ids, where the first surely kept nothing.
use super::client_connection::{AttemptEnd, ClientConnection, open_connection};
use super::ledger::SentStatement;
use super::setup::DirectFleet;
use quincehatch_core::Millis;
use quincehatch_proxy::direct::SessionCommand;
use quincehatch_proxy::ports::TransactionState;
use quincehatch_runtime::{now, seam};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// An operation is tried again until then.
const RETRY_PERIOD_MS: Millis = 2_500;

impl ClientConnection {
    async fn run_single(&mut self) -> AttemptEnd {
        let (id, write, told) = self.run_statement(None, None).await;
        let writes: &[u64] = if write { &[id] } else { &[] };
        let ended = self.record_outcome(id, write, writes, &told);
        self.closed |= told.is_some_and(|t| t.transaction_state != TransactionState::Idle);
        ended
    }

    async fn run_transaction(&mut self) -> AttemptEnd {
        let (no, read, from) = (self.next_statement_id(), fastrand::u64(0..3) == 0, self.now());
        let Some(t) = self.request(no, SessionCommand::Begin { read }).await else {
            return AttemptEnd::Failed;
        };
        if t.result.is_err() {
            return AttemptEnd::Retry;
        }
        let mut writes = Vec::new();
        for _ in 0..fastrand::u64(0..5) {
            seam::sleep(Duration::from_millis(fastrand::u64(0..60))).await;
            if fastrand::u64(0..20) == 0 {
                self.change_session_state().await;
                if self.closed {
                    return AttemptEnd::Failed;
                }
            }
            let (id, write, told) = self.run_statement(Some((no, read)), Some(from)).await;
            writes.extend(write.then_some(id));
            match self.record_outcome(id, false, &writes, &told) {
                AttemptEnd::Succeeded => {}
                ended => {
                    if told.is_some_and(|t| t.transaction_state != TransactionState::Idle) {
                        self.closed |= self
                            .request(no, SessionCommand::Rollback)
                            .await
                            .is_none_or(|t| t.transaction_state != TransactionState::Idle);
                    }
                    // Its commit was not sent.
                    return if ended == AttemptEnd::Failed { AttemptEnd::Retry } else { ended };
                }
            }
        }
        match fastrand::u64(0..20) {
            0 => {
                self.closed = true;
                return AttemptEnd::Failed;
            }
            1 | 2 => {
                self.closed |= self
                    .request(no, SessionCommand::Rollback)
                    .await
                    .is_none_or(|t| t.transaction_state != TransactionState::Idle);
                return AttemptEnd::Succeeded;
            }
            _ => {}
        }
        let id = self.next_statement_id();
        let txn = Some((no, read));
        self.record_sent(
            id,
            SentStatement {
                transaction: txn,
                commit: true,
                at_primary: self.at_primary,
                sent_at: from,
                ..SentStatement::default()
            },
        );
        let told = self.request(id, SessionCommand::Commit).await;
        self.closed |= told.as_ref().is_some_and(|t| t.transaction_state != TransactionState::Idle);
        self.record_outcome(id, !writes.is_empty(), &writes, &told)
    }
}

/// One origin, until it is told to stop.
pub async fn run_client(l: Arc<DirectFleet>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::SeqCst) {
        let n = l.nodes[fastrand::usize(0..l.nodes.len())].clone();
        let order = fastrand::u64(0..10) < 7;
        let Some(mut c) = open_connection(&l, &n, order).await else {
            seam::sleep(Duration::from_millis(fastrand::u64(50..300))).await;
            continue;
        };
        for _ in 0..fastrand::u64(1..30) {
            if c.closed || stop.load(Ordering::SeqCst) {
                break;
            }
            seam::sleep(Duration::from_millis(fastrand::u64(5..150))).await;
            if fastrand::u64(0..8) == 0 {
                c.change_session_state().await;
            }
            let (single, began) = (fastrand::u64(0..3) > 0, now());
            while !c.closed {
                let ended = if single { c.run_single().await } else { c.run_transaction().await };
                if ended != AttemptEnd::Retry || now() > began + RETRY_PERIOD_MS {
                    break;
                }
                seam::sleep(Duration::from_millis(fastrand::u64(20..120))).await;
            }
        }
    }
}
