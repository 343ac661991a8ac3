//! How attempts to open connections to servers ended, counted for metrics.
use std::sync::atomic::{AtomicU64, Ordering};

/// Attempts to open a connection since the process began, by how they ended.
#[derive(Debug, Default)]
pub struct OpenCounts {
    opened: AtomicU64,
    full: AtomicU64,
    failed: AtomicU64,
}

/// The counts of one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenTotals {
    /// A connection was opened.
    pub opened: u64,
    /// The server has as many connections as it takes.
    pub full: u64,
    /// It could not be opened, or not in time.
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

    /// The counts of this moment.
    pub fn totals(&self) -> OpenTotals {
        OpenTotals {
            opened: self.opened.load(Ordering::Relaxed),
            full: self.full.load(Ordering::Relaxed),
            failed: self.failed.load(Ordering::Relaxed),
        }
    }
}
