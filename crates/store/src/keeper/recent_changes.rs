//! The changes that the tail remembers for nodes' feeds.
use crate::feed::Change;
use crate::limits::{FEED_MAX_BYTES, LOG_MAX_ENTRIES};
use quincehatch_core::ChangeNumber;
use std::collections::VecDeque;

/// Consecutive changes up to the newest one, since this process began or took a whole store.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentChanges(VecDeque<Change>);

impl RecentChanges {
    /// Remembers a change, and forgets the oldest ones beyond the limits.
    pub fn push(&mut self, change: Change) {
        self.0.push_back(change);
        while self.exceeds_limits() {
            self.0.pop_front();
        }
    }

    /// Forgets all changes: the store was replaced.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// The changes that follow `last_change`; `None` if some of them are not remembered.
    pub fn since(&self, last_change: ChangeNumber) -> Option<Vec<Change>> {
        let oldest = self.0.front()?.number;
        if oldest > last_change + 1 {
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
