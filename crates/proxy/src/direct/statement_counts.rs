//! Counts the commands of direct sessions by outcome, for metrics.
use super::response::{StatementError, StatementResponse};
use std::collections::BTreeMap;
use std::sync::Mutex;

/// The outcome of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementOutcome {
    /// The command succeeded.
    Succeeded,
    /// The server rejected the command, or it named a prepared statement that does not exist.
    ServerRejected,
    /// The proxy reported an error with this code.
    Code(u16),
}

/// The number of commands by outcome since the process started.
#[derive(Debug, Default)]
pub struct StatementCounts(Mutex<BTreeMap<StatementOutcome, u64>>);

impl StatementCounts {
    pub(super) fn record(&self, response: &StatementResponse) {
        let outcome = match &response.result {
            Ok(_) => StatementOutcome::Succeeded,
            Err(StatementError::Proxy(error)) => StatementOutcome::Code(error.code),
            Err(_) => StatementOutcome::ServerRejected,
        };
        *self.0.lock().unwrap().entry(outcome).or_default() += 1;
    }

    /// Returns a snapshot of the counts.
    pub fn counts(&self) -> BTreeMap<StatementOutcome, u64> {
        self.0.lock().unwrap().clone()
    }
}
