//! Counts of this process's calls by kind.
use std::collections::BTreeMap;
use std::sync::{LazyLock, Mutex};

/// The calls of one kind since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Request frames that were sent.
    pub requests: u64,
    /// Answers that came to them.
    pub answers: u64,
    /// Bytes of these requests.
    pub request_bytes: u64,
    /// Bytes of these answers.
    pub answer_bytes: u64,
    /// Connections that were opened for them.
    pub connections: u64,
}

static COUNTS: LazyLock<Mutex<BTreeMap<&'static str, CallCounts>>> = LazyLock::new(Mutex::default);

/// Adds to the counts of a kind.
pub(crate) fn count(kind: &'static str, add: impl FnOnce(&mut CallCounts)) {
    add(COUNTS.lock().unwrap().entry(kind).or_default());
}

/// The calls of this process over TCP, by kind.
pub fn call_counts() -> BTreeMap<&'static str, CallCounts> {
    COUNTS.lock().unwrap().clone()
}
