//! What a node keeps of one group whose promotion duty it may own.
use super::direct::DirectGroupState;
use quincehatch_core::{FencingToken, Millis, Name, PrimaryAssignment};
use quincehatch_runtime::now;
use quincehatch_runtime::seam::TaskHandle;
use quincehatch_store::PrimaryState;

/// The pause after a promotion of a pooled group.
const POOLED_PAUSE: Millis = 3_000;
/// The pause after a promotion of a direct group.
const DIRECT_PAUSE: Millis = 200;
/// The pause after a promotion that got no fencing token, and so changed nothing.
const SUPERSEDED_PAUSE: Millis = 200;

/// One group's primary as this node sees it, and what is under way for it here.
#[derive(Default)]
pub struct GroupState {
    /// The assignment in force.
    pub primary: Option<PrimaryAssignment>,
    /// When the assignment was first seen as it is.
    pub primary_since: Millis,
    /// The latest fencing token of the group's duty, of the same moment as the assignment.
    pub latest_fence: FencingToken,
    other_promotion: Option<OtherPromotion>,
    /// Since when the assigned server reports that it is not the primary.
    pub not_primary_since: Option<Millis>,
    /// Since when the servers that run have differed from the voters.
    pub membership_changed_since: Option<Millis>,
    /// No promotion is begun before.
    pub pause_until: Millis,
    /// The promotion that is under way, or ended and was not noticed yet.
    pub promotion: Option<TaskHandle>,
    /// The latest fencing token when that promotion was planned.
    pub planned_at_fence: FencingToken,
    /// What is kept of direct groups only.
    pub direct: DirectGroupState,
    /// When servers with a lower fencing token were last told the one in force.
    pub stragglers_fenced_at: Millis,
    /// When a stall of the primary was last reported to the owner of the duty.
    pub suspicion_reported_at: Millis,
}

/// A promotion of another process, which took a fencing token above the assignment's.
struct OtherPromotion {
    fence: FencingToken,
    seen_since: Millis,
}

impl GroupState {
    /// Takes what the store says of the group. `own_fence`: the latest token that this process took.
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

    /// For how long another process's promotion has been begun and has written nothing.
    pub fn since_other_promotion(&self) -> Option<Millis> {
        self.other_promotion.as_ref().map(|other| now() - other.seen_since)
    }

    /// The server that is assigned.
    pub fn primary_server(&self) -> Option<Name> {
        self.primary.as_ref().and_then(|assignment| assignment.server.clone())
    }

    /// Whether a promotion is under way.
    pub fn is_promoting(&self) -> bool {
        self.promotion.as_ref().is_some_and(|task| !task.is_finished())
    }

    /// Begins the pause after a promotion, if one has ended since the last call.
    pub fn note_ended_promotion(&mut self, own_fence: FencingToken, is_direct: bool) {
        if self.promotion.take().is_some() {
            self.pause_until = now() + self.pause_after_promotion(own_fence, is_direct);
        }
    }

    fn pause_after_promotion(&mut self, own_fence: FencingToken, is_direct: bool) -> Millis {
        if own_fence <= self.planned_at_fence {
            // A primary that was to be replaced as cut off has not been.
            self.direct.cut_off_handled_at = 0;
            return SUPERSEDED_PAUSE;
        }
        if is_direct { DIRECT_PAUSE } else { POOLED_PAUSE }
    }
}
