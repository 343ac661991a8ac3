//! What the plans of pooled and direct promotions have in common.
use super::group_state::GroupState;
use crate::node::Node;
use quincehatch_core::{Name, PrimaryAssignment};
use quincehatch_failover::promotion::PromotionPlan;
use quincehatch_store::store::promotion_role_key;

/// Returns the primary of an assignment or, if the assignment is closed, the primary that was demoted.
pub(super) fn old_primary(assignment: Option<&PrimaryAssignment>) -> Option<Name> {
    let assignment = assignment?;
    assignment.server.clone().or_else(|| assignment.demoted.clone())
}

/// Returns a plan for the group's observed state, with a random attempt identifier. The caller fills in the servers,
/// the voters and the remaining fields.
pub(super) fn new_plan(node: &Node, group: &Name, state: &GroupState) -> PromotionPlan {
    let coordinator = node.gossip.local_name.clone();
    let duty = promotion_role_key(group);
    PromotionPlan {
        group: group.clone(),
        attempt: format!("{duty}/{coordinator}/{:x}", fastrand::u64(..)).into(),
        coordinator,
        primary: state.primary.clone(),
        expected_fence: state.latest_fence,
        old_primary: None,
        servers: Vec::new(),
        server_count: 0,
        planned: false,
        earlier_calls: false,
        preferred: None,
        voters: Vec::new(),
        sync_group: None,
    }
}
