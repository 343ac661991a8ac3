//! Tracking of requests that have not been answered.
use crate::keeper::Output;
use crate::messages::Reply;
use crate::timing::RETRY_PENDING_AFTER;
use quincehatch_core::ErrorCode;
use std::collections::BTreeSet;

/// The tokens of the requests that have not been answered.
#[derive(Debug, Default)]
pub(super) struct PendingRequests(BTreeSet<u64>);

impl PendingRequests {
    pub fn add(&mut self, token: u64) {
        self.0.insert(token);
    }

    /// Removes a request; returns `false` if it was already answered.
    pub fn remove(&mut self, token: u64) -> bool {
        self.0.remove(&token)
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns for each pending request a rejection that lets the client retry. It is unknown whether a write took
    /// effect.
    pub fn rejections(&self) -> Vec<Output> {
        let error = ErrorCode::ChainUnavailable
            .with_detail("the disk has not completed the write")
            .with_unknown_outcome()
            .with_retry_after(RETRY_PENDING_AFTER);
        let reject = |token: &u64| Output::Reply(*token, Reply::Rejected { error: error.clone() });
        self.0.iter().map(reject).collect()
    }
}
