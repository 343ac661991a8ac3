//! Counts of the connections that other processes have open to this process's listener.
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

static OPEN: AtomicUsize = AtomicUsize::new(0);
static LIMIT: AtomicUsize = AtomicUsize::new(0);
static CLOSED_FOR_ANOTHER: AtomicU64 = AtomicU64::new(0);

/// The connections of this process's listener for other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerCounts {
    /// Open connections.
    pub open: usize,
    /// The largest number of open connections.
    pub limit: usize,
    /// Idle connections that were closed for new ones since the process started.
    pub closed_for_another: u64,
}

/// Returns the current counts.
pub fn listener_counts() -> ListenerCounts {
    ListenerCounts {
        open: OPEN.load(Ordering::Relaxed),
        limit: LIMIT.load(Ordering::Relaxed),
        closed_for_another: CLOSED_FOR_ANOTHER.load(Ordering::Relaxed),
    }
}

pub(crate) fn set_limit(limit: usize) {
    LIMIT.store(limit, Ordering::Relaxed);
}

pub(crate) fn set_open(open: usize) {
    OPEN.store(open, Ordering::Relaxed);
}

pub(crate) fn count_closed_for_another() {
    CLOSED_FOR_ANOTHER.fetch_add(1, Ordering::Relaxed);
}
