//! The lease of this node. Without a lease the node acknowledges no commit and proves no read fresh.
use quincehatch_core::Millis;
use quincehatch_runtime::{now, seam};
use std::sync::atomic::{AtomicU64, Ordering};

/// The time until which the lease is valid, on the local clock; 0 if there is none.
#[derive(Debug, Default)]
pub struct NodeLease {
    until: AtomicU64,
}

impl NodeLease {
    /// Extends the lease to `until`. An earlier time has no effect.
    pub fn renew(&self, until: Millis) {
        self.until.fetch_max(until, Ordering::SeqCst);
    }

    /// Sets the end of the lease, also to an earlier time.
    pub fn set(&self, until: Millis) {
        self.until.store(until, Ordering::SeqCst);
    }

    /// Returns the remaining time of the lease, in milliseconds.
    pub fn remaining(&self) -> Millis {
        self.until.load(Ordering::SeqCst).saturating_sub(now())
    }

    /// Whether the lease is valid.
    pub fn is_held(&self) -> bool {
        let was_granted_once = || self.until.load(Ordering::SeqCst) > 0;
        self.remaining() > 0 || (seam::injected_bug("no-lease") && was_granted_once())
    }
}
