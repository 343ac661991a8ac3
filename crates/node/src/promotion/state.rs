//! State of the promotion duty for all groups, shared with this node's other tasks.
use super::counts::PromotionCounts;
use super::direct::{AcknowledgedBounds, KnownProcesses, ServerStatuses};
use super::suspicion::Suspicions;
use quincehatch_core::{FencingToken, Millis, Name, PrimaryAssignment};
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// The maximum number of progress lines retained for operators.
const MAX_EVENTS: usize = 256;

/// Requests, suspicions and results that concern the primaries of groups.
#[derive(Default)]
pub struct PromotionState {
    /// Handovers that operators requested: the group and the server that is to take over, `None` for any server.
    pub handover_requests: Mutex<BTreeMap<Name, Option<Name>>>,
    suspicions: Suspicions,
    /// What direct servers last reported of themselves to this node.
    pub server_statuses: ServerStatuses,
    /// The acknowledged bound of each direct group, up to which all of its servers hold the acknowledged commits.
    pub acknowledged_bounds: AcknowledgedBounds,
    /// The enrolled process of each node.
    pub known_processes: KnownProcesses,
    /// The latest fencing token that this process acquired for each group.
    own_fences: Mutex<BTreeMap<Name, FencingToken>>,
    /// The fencing token of this process's latest completed promotion of each group.
    completed_fences: Mutex<BTreeMap<Name, FencingToken>>,
    /// Identifies this process.
    pub incarnation: Incarnation,
    /// Counts of promotions by phase and outcome.
    pub counts: PromotionCounts,
    /// Progress lines of the latest promotions, newest last, for `quincehatchctl explain`.
    pub events: Mutex<Vec<String>>,
}

/// The identifier that distinguishes this process from earlier processes of the same node.
pub struct Incarnation(pub u64);

impl Default for Incarnation {
    fn default() -> Self {
        Self(seam::incarnation())
    }
}

impl PromotionState {
    /// Removes the handover request of a group. Returns the server that is to take over, if the request names one.
    pub fn take_handover_request(&self, group: &Name) -> Option<Name> {
        self.handover_requests.lock().unwrap().remove(group).flatten()
    }

    /// Whether an operator requested a handover that has not begun.
    pub fn is_handover_requested(&self, group: &Name) -> bool {
        self.handover_requests.lock().unwrap().contains_key(group)
    }

    /// Records another node's report that the group's primary stalls.
    pub fn record_suspicion(&self, group: Name, server: Name) {
        self.suspicions.record(group, server);
    }

    /// For how long other nodes have reported that the server stalls; `None` if there is no recent report.
    pub fn reported_stall_duration(&self, group: &Name, server: &Name) -> Option<Millis> {
        self.suspicions.age(group, server)
    }

    /// Removes the group's acknowledged bound unless it was found under this assignment or the assignment is closed.
    /// The bound is valid only while this node owns the group's duty without interruption: `primary` is `None` if the
    /// node does not own it.
    pub fn retain_acknowledged_bound(&self, group: &Name, primary: Option<&PrimaryAssignment>) {
        self.acknowledged_bounds.retain_under(group, primary);
    }

    /// Records a fencing token that this process acquired.
    pub fn record_own_fence(&self, group: &Name, fence: FencingToken) {
        self.own_fences.lock().unwrap().insert(group.clone(), fence);
    }

    /// The latest fencing token that this process acquired for the group; 0 before the first.
    pub fn own_fence(&self, group: &Name) -> FencingToken {
        self.own_fences.lock().unwrap().get(group).copied().unwrap_or_default()
    }

    /// Records that this process completed a promotion of the group under a fencing token.
    pub fn record_completed_fence(&self, group: &Name, fence: FencingToken) {
        self.completed_fences.lock().unwrap().insert(group.clone(), fence);
    }

    /// The fencing token of this process's latest completed promotion of the group; 0 before the first.
    pub fn completed_fence(&self, group: &Name) -> FencingToken {
        self.completed_fences.lock().unwrap().get(group).copied().unwrap_or_default()
    }

    /// Logs a line of a promotion's progress and retains it for operators.
    pub fn record_event(&self, line: String) {
        log::info!(target: "promote", "{line}");
        let mut events = self.events.lock().unwrap();
        events.push(line);
        if events.len() > MAX_EVENTS {
            events.remove(0);
        }
    }
}
