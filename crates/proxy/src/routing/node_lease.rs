//! The lease of this node. Without a lease the node acknowledges no commit and proves no read fresh.
use quincehatch_core::Millis;
use quincehatch_runtime::{now, seam};
use std::sync::atomic::{AtomicU64, Ordering};

/// The time until which the lease is valid, on the local clock; 0 if there is none. While renewals arrive as expected, the
/// node also knows of each promotion shortly after it was begun.
#[derive(Debug, Default)]
pub struct NodeLease {
    until: AtomicU64,
    /// The time by which the next renewal is expected; 0 if there is none.
    renewal_due: AtomicU64,
}

impl NodeLease {
    /// Extends the lease to `until`; the next renewal is expected by `renewal_due`. Earlier times have no effect.
    pub fn renew(&self, until: Millis, renewal_due: Millis) {
        self.until.fetch_max(until, Ordering::SeqCst);
        self.renewal_due.fetch_max(renewal_due, Ordering::SeqCst);
    }

    /// Whether an expected renewal has not arrived: the node may be cut off from the keepers.
    pub fn is_renewal_overdue(&self) -> bool {
        now() > self.renewal_due.load(Ordering::SeqCst)
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
