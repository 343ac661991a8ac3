//! Counts attempts to open connections to servers by their outcome, for metrics.
use std::sync::atomic::{AtomicU64, Ordering};

/// The attempts to open a connection since the process started, by outcome.
#[derive(Debug, Default)]
pub struct OpenCounts {
    opened: AtomicU64,
    full: AtomicU64,
    failed: AtomicU64,
}

/// A snapshot of the counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenTotals {
    /// Attempts that opened a connection.
    pub opened: u64,
    /// Attempts that the server rejected because its connection limit is reached.
    pub full: u64,
    /// Attempts that failed or timed out.
    pub failed: u64,
}

impl OpenCounts {
    pub(super) fn record_opened(&self) {
        self.opened.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn record_full(&self) {
        self.full.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn record_failed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a snapshot of the counts.
    pub fn totals(&self) -> OpenTotals {
        OpenTotals {
            opened: self.opened.load(Ordering::Relaxed),
            full: self.full.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }
}
