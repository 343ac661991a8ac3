//! Configurations retained for history and rollback.
use crate::store::Store;
use quincehatch_core::{Name, Version, messages};
use std::collections::VecDeque;

/// Maximum number of configurations that are retained.
const MAX_HISTORY_VERSIONS: usize = 32;
/// Maximum total size of the retained configurations (1 MiB). The entire store is sent in one frame, so it must stay
/// small.
const MAX_HISTORY_BYTES: usize = 1 << 20;
/// Number of configurations that are retained whatever their size: the one in force, and the one to roll back to.
const MIN_HISTORY_VERSIONS: usize = 2;

messages! {
    /// A configuration that was in force, or still is.
    #[derive(Eq)]
    pub struct HistoryEntry {
        /// Version of the configuration.
        pub version: Version,
        /// The configuration, as JSON.
        pub text: String,
        /// Name of the operator who pushed the configuration.
        pub author: Name
    }
}

impl Store {
    /// Puts a configuration in force, and drops the oldest configurations beyond the limits.
    pub(super) fn append_history(&mut self, entry: HistoryEntry) {
        self.history.push_back(entry);
        while exceeds_limits(&self.history) {
            self.history.pop_front();
        }
    }
}

fn exceeds_limits(history: &VecDeque<HistoryEntry>) -> bool {
    if history.len() > MAX_HISTORY_VERSIONS {
        return true;
    }
    let bytes: usize = history.iter().map(|entry| entry.text.len()).sum();
    history.len() > MIN_HISTORY_VERSIONS && bytes > MAX_HISTORY_BYTES
}
