//! How the statements of direct sessions ended, counted for metrics.
use super::response::{StatementError, StatementResponse};
use std::collections::BTreeMap;
use std::sync::Mutex;

/// How a statement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementOutcome {
    /// It succeeded.
    Succeeded,
    /// The server rejected it, or it was malformed.
    ServerRejected,
    /// The proxy rejected it with this error code.
    Code(u16),
}

/// Statements by outcome since the process began.
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

    /// The counts of this moment.
    pub fn counts(&self) -> BTreeMap<StatementOutcome, u64> {
        self.0.lock().unwrap().clone()
    }
}
