//! The times at which recent entries were committed.
use quincehatch_core::{ChangeNumber, Millis};
use std::collections::VecDeque;

/// Maximum number of commits whose time is retained.
const MAX_COMMIT_TIMES: usize = 64;

#[derive(Clone, Copy, Debug)]
struct CommitTime {
    number: ChangeNumber,
    at: Millis,
}

/// The newest commits, and the time at which this keeper learned of each.
#[derive(Clone, Debug, Default)]
pub(in crate::keeper) struct CommitTimes(VecDeque<CommitTime>);

impl CommitTimes {
    /// Records that all entries up to `committed` are committed.
    pub fn record(&mut self, committed: ChangeNumber, now: Millis) {
        let is_newer = self.0.back().is_none_or(|newest| newest.number < committed);
        if !is_newer {
            return;
        }
        self.0.push_back(CommitTime { number: committed, at: now });
        if self.0.len() > MAX_COMMIT_TIMES {
            self.0.pop_front();
        }
    }

    /// Returns a lower bound of the time for which this keeper has known that the entry is committed; `None` if it does
    /// not know it.
    pub fn time_since_commit(&self, number: ChangeNumber, now: Millis) -> Option<Millis> {
        let commit = self.0.iter().find(|commit| commit.number >= number)?;
        Some(now - commit.at)
    }
}
