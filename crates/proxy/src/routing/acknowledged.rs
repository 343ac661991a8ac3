//! The end of what this node has passed on to clients as acknowledged, for each group.
//!
//! Whoever chooses a new primary asks for it. Once it was reported for a fence, nothing that was sent under a lower fence
//! is passed on any more, as the new primary may lack it.
use quincehatch_core::{FencingToken, Name, Position};
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::Mutex;

#[derive(Clone, Copy, Debug, Default)]
struct GroupEnd {
    /// The end of all that was passed on.
    end: Position,
    /// Nothing sent under a lower fence is passed on any more.
    sealed_below: FencingToken,
}

/// The ends of all groups.
#[derive(Debug, Default)]
pub struct AcknowledgedEnds {
    by_group: Mutex<BTreeMap<Name, GroupEnd>>,
}

impl AcknowledgedEnds {
    /// A commit that was sent under `fence` and ends at `end` is to be passed on as acknowledged. `may_pass_on` is asked
    /// under the lock. Returns whether it may be passed on.
    pub fn record(
        &self,
        group: &str,
        fence: FencingToken,
        end: Position,
        may_pass_on: impl FnOnce() -> bool,
    ) -> bool {
        let mut by_group = self.by_group.lock().unwrap();
        let group_end = by_group.entry(group.into()).or_default();
        let is_allowed = may_pass_on() && fence >= group_end.sealed_below;
        if !is_allowed && !seam::injected_bug("acked-untold") {
            return false;
        }
        group_end.end = group_end.end.max(end);
        true
    }

    /// The end of all that was passed on.
    pub fn end(&self, group: &str) -> Position {
        self.by_group.lock().unwrap().get(group).map_or_else(Position::default, |group_end| group_end.end)
    }

    /// The same; and nothing sent under a lower fence than `fence` is passed on after this.
    pub fn seal(&self, group: &str, fence: FencingToken) -> Position {
        let mut by_group = self.by_group.lock().unwrap();
        let group_end = by_group.entry(group.into()).or_default();
        group_end.sealed_below = group_end.sealed_below.max(fence);
        group_end.end
    }
}
