//! Clients. A client runs operations one after the other on a session, and retries a whole operation under new ids if
//! the previous attempt is guaranteed not to be applied.
use super::attempt::AttemptEnd;
use super::client_connection::{ClientConnection, StatementRun, open_connection};
use super::connection::ClientTransaction;
use super::sent_statement::SentStatement;
use super::setup::DirectFleet;
use quincehatch_core::Millis;
use quincehatch_proxy::direct::SessionCommand;
use quincehatch_runtime::{now, seam};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// An operation is retried until this much time has passed since its first attempt.
const RETRY_PERIOD: Millis = 2_500;
/// Ranges in milliseconds from which clients draw their pauses before they reconnect, start an operation, retry it, and
/// send a statement of a transaction.
const RECONNECT_PAUSE: Range<u64> = 50..300;
const OPERATION_PAUSE: Range<u64> = 5..150;
const RETRY_PAUSE: Range<u64> = 20..120;
const STATEMENT_PAUSE: Range<u64> = 0..60;

async fn pause(range: Range<u64>) {
    seam::sleep(Duration::from_millis(fastrand::u64(range))).await;
}

/// Returns true once in `draws` draws on average.
fn one_in(draws: u64) -> bool {
    fastrand::u64(0..draws) == 0
}

/// How a client ends a transaction whose statements all succeeded.
enum TransactionEnd {
    Abandon,
    Rollback,
    Commit,
}

impl TransactionEnd {
    fn draw() -> TransactionEnd {
        match fastrand::u64(0..20) {
            0 => TransactionEnd::Abandon,
            1 | 2 => TransactionEnd::Rollback,
            _ => TransactionEnd::Commit,
        }
    }
}

impl ClientConnection {
    async fn run_single(&mut self) -> AttemptEnd {
        let run = self.run_statement(None, None).await;
        let writes: &[u64] = if run.write { &[run.id] } else { &[] };
        let end = self.record_outcome(&run, run.write, writes);
        self.closed |= run.leaves_transaction();
        end
    }

    async fn run_transaction(&mut self) -> AttemptEnd {
        let transaction = ClientTransaction { id: self.next_statement_id(), read_only: one_in(3) };
        let started_at = self.now();
        let begin = SessionCommand::Begin { read_only: transaction.read_only };
        let Some(response) = self.request(transaction.id, begin).await else { return AttemptEnd::Failed };
        if response.result.is_err() {
            return AttemptEnd::Retry;
        }
        let mut writes = Vec::new();
        for _ in 0..fastrand::u64(0..5) {
            pause(STATEMENT_PAUSE).await;
            if one_in(20) {
                self.change_session_state().await;
                if self.closed {
                    return AttemptEnd::Failed;
                }
            }
            let run = self.run_statement(Some(transaction), Some(started_at)).await;
            writes.extend(run.write.then_some(run.id));
            if self.record_outcome(&run, false, &writes) != AttemptEnd::Succeeded {
                if run.leaves_transaction() {
                    self.rollback(transaction.id).await;
                }
                // The client has not sent a commit, so none of the transaction's writes are applied.
                return AttemptEnd::Retry;
            }
        }
        match TransactionEnd::draw() {
            TransactionEnd::Abandon => {
                self.closed = true;
                AttemptEnd::Failed
            }
            TransactionEnd::Rollback => {
                self.rollback(transaction.id).await;
                AttemptEnd::Succeeded
            }
            TransactionEnd::Commit => self.commit(transaction, started_at, &writes).await,
        }
    }

    async fn commit(
        &mut self,
        transaction: ClientTransaction,
        started_at: Millis,
        writes: &[u64],
    ) -> AttemptEnd {
        let id = self.next_statement_id();
        let statement = SentStatement {
            transaction: Some(transaction),
            commit: true,
            at_primary: self.at_primary,
            sent_at: started_at,
            ..SentStatement::default()
        };
        self.record_sent(id, statement);
        let response = self.request(id, SessionCommand::Commit).await;
        let run = StatementRun { id, write: !writes.is_empty(), response };
        self.closed |= run.leaves_transaction();
        self.record_outcome(&run, run.write, writes)
    }

    /// Runs one operation, and retries it for [`RETRY_PERIOD`] as long as that is safe.
    async fn run_operation(&mut self) {
        let is_single = fastrand::u64(0..3) > 0;
        let started_at = now();
        while !self.closed {
            let end = if is_single { self.run_single().await } else { self.run_transaction().await };
            if end != AttemptEnd::Retry || now() > started_at + RETRY_PERIOD {
                return;
            }
            pause(RETRY_PAUSE).await;
        }
    }
}

/// Runs one client until `stop` is set.
pub async fn run_client(fleet: Arc<DirectFleet>, stop: Arc<AtomicBool>) {
    let is_stopped = || stop.load(Ordering::SeqCst);
    while !is_stopped() {
        let node = fleet.nodes[fastrand::usize(0..fleet.nodes.len())].clone();
        let at_primary = fastrand::u64(0..10) < 7;
        let Some(mut connection) = open_connection(&fleet, &node, at_primary).await else {
            pause(RECONNECT_PAUSE).await;
            continue;
        };
        for _ in 0..fastrand::u64(1..30) {
            if connection.closed || is_stopped() {
                break;
            }
            pause(OPERATION_PAUSE).await;
            if one_in(8) {
                connection.change_session_state().await;
            }
            connection.run_operation().await;
        }
    }
}
