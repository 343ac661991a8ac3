//! The recent changes that a keeper retains to answer nodes' polls.
use crate::feed::Change;
use crate::limits::{FEED_MAX_BYTES, LOG_MAX_ENTRIES};
use quincehatch_core::ChangeNumber;
use std::collections::VecDeque;

/// Approximate size of a change without its configuration, if it contains one.
const CHANGE_BYTES: usize = 80;

/// Consecutive changes up to the newest one. They begin when the process starts or installs a snapshot of the store.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentChanges(VecDeque<Change>);

impl RecentChanges {
    /// Adds a change, and removes the oldest changes beyond the limits.
    pub fn push(&mut self, change: Change) {
        self.0.push_back(change);
        while self.exceeds_limits() {
            self.0.pop_front();
        }
    }

    /// Removes all changes, because the store was replaced.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the approximate size in bytes of the changes that follow `last_change`; `None` if some of them are no
    /// longer retained.
    pub fn size_since(&self, last_change: ChangeNumber) -> Option<u64> {
        let newer = |change: &&Change| change.number > last_change;
        let bytes = self.0.iter().filter(newer).map(|change| change.size() + CHANGE_BYTES).sum::<usize>();
        self.reaches_back_to(last_change).then_some(bytes as u64)
    }

    /// Returns whether all changes that follow `last_change` are retained.
    pub fn reaches_back_to(&self, last_change: ChangeNumber) -> bool {
        self.0.front().is_some_and(|oldest| oldest.number <= last_change + 1)
    }

    /// Returns the changes that follow `last_change`; `None` if some of them are no longer retained.
    pub fn since(&self, last_change: ChangeNumber) -> Option<Vec<Change>> {
        if !self.reaches_back_to(last_change) {
            return None;
        }
        Some(self.0.iter().filter(|change| change.number > last_change).cloned().collect())
    }

    fn exceeds_limits(&self) -> bool {
        if self.0.len() > LOG_MAX_ENTRIES {
            return true;
        }
        let bytes: usize = self.0.iter().map(Change::size).sum();
        self.0.len() > 1 && bytes > FEED_MAX_BYTES
    }
}
