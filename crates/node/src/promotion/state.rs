//! What the promotion duty keeps of all groups, for this node's other tasks to read.
use super::counts::PromotionCounts;
use super::direct::{AcknowledgedBounds, KnownProcesses, ServerStatuses};
use super::suspicion::Suspicions;
use quincehatch_core::{FencingToken, Millis, Name, PrimaryAssignment};
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Progress lines kept for operators.
const MAX_EVENTS: usize = 256;

/// Requests, suspicions and results that concern the primaries of groups.
#[derive(Default)]
pub struct PromotionState {
    /// Handovers that operators asked for: the group, and the server that is to take over; none: any.
    pub handover_requests: Mutex<BTreeMap<Name, Option<Name>>>,
    suspicions: Suspicions,
    /// What direct servers last reported of themselves to this node.
    pub server_statuses: ServerStatuses,
    /// Up to where all direct servers of a group hold what was acknowledged.
    pub acknowledged_bounds: AcknowledgedBounds,
    /// Which process of each node is enrolled.
    pub known_processes: KnownProcesses,
    /// The latest fencing token that this process took for each group.
    own_fences: Mutex<BTreeMap<Name, FencingToken>>,
    /// Identifies this process.
    pub incarnation: Incarnation,
    /// Promotions by phase and outcome.
    pub counts: PromotionCounts,
    /// Progress of the last promotions, newest last, for `quincehatchctl explain`.
    pub events: Mutex<Vec<String>>,
}

/// Tells this process from earlier ones of the same node.
pub struct Incarnation(pub u64);

impl Default for Incarnation {
    fn default() -> Self {
        Self(seam::incarnation())
    }
}

impl PromotionState {
    /// Removes the handover request of a group. Returns the server that was to take over, if one was named.
    pub fn take_handover_request(&self, group: &Name) -> Option<Name> {
        self.handover_requests.lock().unwrap().remove(group).flatten()
    }

    /// Whether an operator asked for a handover that has not begun.
    pub fn is_handover_requested(&self, group: &Name) -> bool {
        self.handover_requests.lock().unwrap().contains_key(group)
    }

    /// Another node reports that the group's primary stalls.
    pub fn record_suspicion(&self, group: Name, server: Name) {
        self.suspicions.record(group, server);
    }

    /// For how long other nodes have reported that the server stalls; none if none did lately.
    pub fn suspected_for(&self, group: &Name, server: &Name) -> Option<Millis> {
        self.suspicions.age(group, server)
    }

    /// Forgets the group's acknowledged bound unless it was found under this assignment. The bound is of use only while
    /// this node owns the group's duty without a gap: without, `primary` is none.
    pub fn retain_acknowledged_bound(&self, group: &Name, primary: Option<&PrimaryAssignment>) {
        self.acknowledged_bounds.retain_under(group, primary);
    }

    /// Records a fencing token that this process took.
    pub fn record_own_fence(&self, group: &Name, fence: FencingToken) {
        self.own_fences.lock().unwrap().insert(group.clone(), fence);
    }

    /// The latest fencing token that this process took for the group; 0 before the first.
    pub fn own_fence(&self, group: &Name) -> FencingToken {
        self.own_fences.lock().unwrap().get(group).copied().unwrap_or_default()
    }

    /// Logs a line of a promotion's progress and keeps it for operators.
    pub fn record_event(&self, line: String) {
        log::info!(target: "promote", "{line}");
        let mut events = self.events.lock().unwrap();
        events.push(line);
        if events.len() > MAX_EVENTS {
            events.remove(0);
        }
    }
}
