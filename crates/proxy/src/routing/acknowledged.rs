//! The log position up to which this node has acknowledged commits to clients, for each group.
//!
//! The node that chooses a new primary queries this position. Once it was reported for a fence, this node acknowledges
//! nothing that was sent under a lower fence, because the new primary may lack it.
use quincehatch_core::{FencingToken, Name, Position};
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::Mutex;

#[derive(Clone, Copy, Debug, Default)]
struct AcknowledgedPosition {
    /// The highest position that was acknowledged.
    end: Position,
    /// No commit that was sent under a lower fence is acknowledged any more.
    sealed_below: FencingToken,
}

/// The acknowledged positions of all groups.
#[derive(Debug, Default)]
pub struct AcknowledgedPositions {
    by_group: Mutex<BTreeMap<Name, AcknowledgedPosition>>,
}

impl AcknowledgedPositions {
    /// Records that a commit that was sent under `fence` and ends at `end` is about to be acknowledged.
    /// `may_acknowledge` is called under the lock. Returns whether the commit may be acknowledged.
    pub fn record(
        &self,
        group: &str,
        fence: FencingToken,
        end: Position,
        may_acknowledge: impl FnOnce() -> bool,
    ) -> bool {
        let mut by_group = self.by_group.lock().unwrap();
        let acknowledged = by_group.entry(group.into()).or_default();
        let is_allowed = may_acknowledge() && fence >= acknowledged.sealed_below;
        if !is_allowed && !seam::injected_bug("acked-untold") {
            return false;
        }
        acknowledged.end = acknowledged.end.max(end);
        true
    }

    /// Returns the highest position that was acknowledged for the group.
    pub fn end(&self, group: &str) -> Position {
        self.by_group
            .lock()
            .unwrap()
            .get(group)
            .map_or_else(Position::default, |acknowledged| acknowledged.end)
    }

    /// Returns the highest position that was acknowledged for the group. From then on, no commit that was sent under a
    /// lower fence than `fence` is acknowledged.
    pub fn seal(&self, group: &str, fence: FencingToken) -> Position {
        let mut by_group = self.by_group.lock().unwrap();
        let acknowledged = by_group.entry(group.into()).or_default();
        acknowledged.sealed_below = acknowledged.sealed_below.max(fence);
        acknowledged.end
    }
}
