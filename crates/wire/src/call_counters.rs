//! Counts of this process's calls by kind.
use std::collections::BTreeMap;
use std::sync::{LazyLock, Mutex};

/// Counts of the calls of one kind since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Request frames sent.
    pub requests: u64,
    /// Answers received to these requests.
    pub answers: u64,
    /// Bytes of these requests.
    pub request_bytes: u64,
    /// Bytes of these answers.
    pub answer_bytes: u64,
    /// Connections opened for these requests.
    pub connections: u64,
}

static COUNTS: LazyLock<Mutex<BTreeMap<&'static str, CallCounts>>> = LazyLock::new(Mutex::default);

/// Updates the counts of a kind.
pub(crate) fn count(kind: &'static str, update: impl FnOnce(&mut CallCounts)) {
    update(COUNTS.lock().unwrap().entry(kind).or_default());
}

/// Returns the counts of this process's calls over TCP, by kind.
pub fn call_counts() -> BTreeMap<&'static str, CallCounts> {
    COUNTS.lock().unwrap().clone()
}
