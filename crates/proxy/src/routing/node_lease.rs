//! The lease of this node: without it the node vouches for nothing.
use quincehatch_core::Millis;
use quincehatch_runtime::{now, seam};
use std::sync::atomic::{AtomicU64, Ordering};

/// Until when the lease holds, on the local clock; 0 if there is none.
#[derive(Debug, Default)]
pub struct NodeLease {
    until: AtomicU64,
}

impl NodeLease {
    /// The lease holds until then; an earlier end changes nothing.
    pub fn renew(&self, until: Millis) {
        self.until.fetch_max(until, Ordering::SeqCst);
    }

    /// Sets the end outright, to an earlier one too.
    pub fn set(&self, until: Millis) {
        self.until.store(until, Ordering::SeqCst);
    }

    /// What is left of it, in milliseconds.
    pub fn remaining(&self) -> Millis {
        self.until.load(Ordering::SeqCst).saturating_sub(now())
    }

    /// Whether it holds.
    pub fn is_held(&self) -> bool {
        let ever_had_one = || self.until.load(Ordering::SeqCst) > 0;
        self.remaining() > 0 || (seam::injected_bug("no-lease") && ever_had_one())
    }
}
