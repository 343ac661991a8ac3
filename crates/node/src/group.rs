//! What a node keeps of one group whose lead it may have to look after (§5.5).
use crate::ClusterNode;
use quincehatch_core::{FencingToken, Millis, Name, PrimaryAssignment};
use quincehatch_runtime::{now, seam};
use quincehatch_store::PrimaryState;

/// A promotion is not begun again sooner.
const REST: Millis = 3_000;
/// ... where servers are met over held links.
const REST_HELD: Millis = 200;
/// ... and one that came too late for its fence, and altered nothing.
const REST_LATE: Millis = 200;

/// One group's lead as this node sees it, and what is under way for it here.
#[derive(Default)]
pub struct Group {
    pub lead: Option<PrimaryAssignment>,
    /// When it was first seen as it is.
    pub since: Millis,
    /// The newest fence of the group's duty, of the same moment as the lead.
    pub over: FencingToken,
    /// A fence above the lead's that another process took, and since when it is seen.
    begun: Option<(FencingToken, Millis)>,
    pub wrong: Option<Millis>,
    pub strange: Option<Millis>,
    pub rest_until: Millis,
    pub task: Option<seam::TaskHandle>,
    /// The newest fence at the time of planning that task.
    pub planned_over: FencingToken,
    pub minded: crate::held_watch::Minded,
    pub fenced_at: Millis,
    pub told_at: Millis,
}

impl Group {
    /// Takes what the chain says of the group now.
    pub fn look(&mut self, leadership: PrimaryState, own_fence: FencingToken) {
        let PrimaryState { fence, primary } = leadership;
        let written = primary.as_ref().map_or(0, |l| l.fence);
        if fence <= written || fence == own_fence {
            self.begun = None;
        } else if self.begun.is_none_or(|(seen, _)| seen != fence) {
            self.begun = Some((fence, now()));
        }
        if self.lead != primary || self.since == 0 {
            (self.lead, self.since) = (primary, now());
        }
        self.over = fence;
    }
    /// For how long another's change of hands has been begun and wrote nothing.
    pub fn begun_for(&self) -> Option<Millis> {
        self.begun.map(|(_, at)| now() - at)
    }
    /// How long to wait after a promotion that has ended.
    pub fn rest(&mut self, f: &ClusterNode, group: &Name) -> Millis {
        if f.promotion_state.own_fence(group) <= self.planned_over {
            self.minded.cut = 0;
            return REST_LATE;
        }
        if f.ports.is_some() { REST_HELD } else { REST }
    }
}
