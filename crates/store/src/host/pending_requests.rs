//! Requests that have not been answered yet.
use crate::keeper::Output;
use crate::messages::Reply;
use crate::timing::RETRY_PENDING_AFTER;
use quincehatch_core::ErrorCode;
use std::collections::BTreeSet;

/// Tokens of the requests that have not been answered yet.
#[derive(Debug, Default)]
pub(super) struct PendingRequests(BTreeSet<u64>);

impl PendingRequests {
    pub fn add(&mut self, token: u64) {
        self.0.insert(token);
    }

    /// Removes a request; `false` if it was answered already.
    pub fn remove(&mut self, token: u64) -> bool {
        self.0.remove(&token)
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// For each pending request a reply that says to retry. Whether a write took effect is unknown.
    pub fn rejections(&self) -> Vec<Output> {
        let error = ErrorCode::ChainUnavailable
            .with_detail("the disk has not taken the write")
            .with_unknown_outcome()
            .with_retry_after(RETRY_PENDING_AFTER);
        let reject = |token: &u64| Output::Reply(*token, Reply::Rejected { error: error.clone() });
        self.0.iter().map(reject).collect()
    }
}
