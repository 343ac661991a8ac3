//! The state that a node keeps for one group whose promotion duty it may own.
use super::direct::DirectGroupState;
use quincehatch_core::{FencingToken, Millis, Name, PrimaryAssignment};
use quincehatch_runtime::now;
use quincehatch_runtime::seam::TaskHandle;
use quincehatch_store::PrimaryState;

/// The pause after a promotion of a pooled group before the next one may begin.
const POOLED_PAUSE: Millis = 3_000;
/// The pause after a promotion of a direct group before the next one may begin.
const DIRECT_PAUSE: Millis = 200;
/// The pause after a promotion that acquired no fencing token and so changed nothing.
const SUPERSEDED_PAUSE: Millis = 200;

/// One group's primary as this node observes it, and this node's tasks for the group.
#[derive(Default)]
pub struct GroupState {
    /// The assignment in force.
    pub primary: Option<PrimaryAssignment>,
    /// When this node first saw the assignment in its present form.
    pub primary_since: Millis,
    /// The latest fencing token of the group's duty, from the same snapshot as the assignment.
    pub latest_fence: FencingToken,
    other_promotion: Option<OtherPromotion>,
    /// Since when the assigned server has reported that it is not the primary.
    pub not_primary_since: Option<Millis>,
    /// Since when the running servers have differed from the voters.
    pub membership_changed_since: Option<Millis>,
    /// The earliest time at which the next promotion may begin.
    pub next_promotion_at: Millis,
    /// The task of the running promotion, or of one whose end has not been processed yet.
    pub promotion: Option<TaskHandle>,
    /// The latest fencing token when the promotion in `promotion` was planned.
    pub planned_at_fence: FencingToken,
    /// State that only direct groups need.
    pub direct: DirectGroupState,
    /// When servers with a lower fencing token were last sent the current one.
    pub stale_servers_fenced_at: Millis,
    /// When a stall of the primary was last reported to the owner of the duty.
    pub stall_reported_at: Millis,
}

/// A promotion by another process, which acquired a fencing token above the assignment's.
struct OtherPromotion {
    fence: FencingToken,
    seen_since: Millis,
}

impl GroupState {
    /// Applies the group's state from the store. `own_fence`: the latest fencing token that this process acquired.
    pub fn update(&mut self, stored: PrimaryState, own_fence: FencingToken) {
        let PrimaryState { fence, primary } = stored;
        let assigned_fence = primary.as_ref().map_or(0, |assignment| assignment.fence);
        if fence <= assigned_fence || fence == own_fence {
            self.other_promotion = None;
        } else if self.other_promotion.as_ref().is_none_or(|other| other.fence != fence) {
            self.other_promotion = Some(OtherPromotion { fence, seen_since: now() });
        }
        if self.primary != primary || self.primary_since == 0 {
            self.primary = primary;
            self.primary_since = now();
        }
        self.latest_fence = fence;
    }

    /// How long ago this node first saw another process's promotion that has written no assignment yet; `None` if there
    /// is no such promotion.
    pub fn since_other_promotion(&self) -> Option<Millis> {
        self.other_promotion.as_ref().map(|other| now() - other.seen_since)
    }

    /// The server that the assignment names; `None` if there is no assignment or it is closed.
    pub fn primary_server(&self) -> Option<Name> {
        self.primary.as_ref().and_then(|assignment| assignment.server.clone())
    }

    /// Whether this node closed the assignment and left the promotion unfinished: no other node runs it, so the next one
    /// need not wait for it. `completed_fence`: the token of this node's latest completed promotion. The feed may still
    /// show the closed assignment after that promotion has named a server.
    pub fn was_left_unfinished_by(&self, node: &Name, completed_fence: FencingToken) -> bool {
        self.primary.as_ref().is_some_and(|assignment| {
            assignment.server.is_none()
                && assignment.assigned_by == *node
                && assignment.fence > completed_fence
        })
    }

    /// Whether a promotion that this node started is still running.
    pub fn is_promoting(&self) -> bool {
        self.promotion.as_ref().is_some_and(|task| !task.is_finished())
    }

    /// Starts the pause after a promotion, if one has ended since the last call.
    pub fn start_pause_after_promotion(&mut self, own_fence: FencingToken, is_direct: bool) {
        if self.promotion.take().is_some() {
            self.next_promotion_at = now() + self.pause_after_promotion(own_fence, is_direct);
        }
    }

    fn pause_after_promotion(&mut self, own_fence: FencingToken, is_direct: bool) -> Millis {
        if own_fence <= self.planned_at_fence {
            // This promotion may have been meant to replace a primary that is cut off from its replicas. It was not
            // replaced, so the check may trigger again.
            self.direct.cut_off_handled_at = 0;
            return SUPERSEDED_PAUSE;
        }
        if is_direct { DIRECT_PAUSE } else { POOLED_PAUSE }
    }
}

#[cfg(test)]
mod tests;
