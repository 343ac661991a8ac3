//! Log lines of a node that gains or loses its lease.
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;

/// What a node remembers of its polls to explain the loss of its lease.
#[derive(Debug, Default)]
pub(super) struct LeaseLog {
    had_lease: bool,
    /// When the last poll that renewed the lease was sent.
    renewed_at: Millis,
    /// How the last poll that did not renew it ended.
    last_failure: String,
}

impl LeaseLog {
    /// Records that a poll sent at that time renewed the lease.
    pub fn record_renewal(&mut self, sent_at: Millis) {
        self.renewed_at = sent_at;
    }

    /// Records how a poll ended that did not renew the lease.
    pub fn record_failure(&mut self, failure: String) {
        self.last_failure = failure;
    }

    /// Logs whether the node holds its lease, if that has changed since the last call.
    pub fn log_change(&mut self, node: &Name, has_lease: bool) {
        if has_lease == self.had_lease {
            return;
        }
        self.had_lease = has_lease;
        if has_lease {
            log::info!(target: "lease", "node {node} holds its lease");
            return;
        }
        let since = now().saturating_sub(self.renewed_at);
        let failure = &self.last_failure;
        log::info!(
            target: "lease",
            "node {node} has lost its lease and accepts no requests; {since} ms since its renewal, last poll: {failure}"
        );
    }
}
