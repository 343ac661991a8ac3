//! What the plans of pooled and direct promotions have in common.
use super::group_state::GroupState;
use crate::node::Node;
use quincehatch_core::{Name, PrimaryAssignment};
use quincehatch_failover::promotion::PromotionPlan;
use quincehatch_store::store::promotion_role_key;

/// The server that is or was the primary under an assignment.
pub(super) fn old_primary(assignment: Option<&PrimaryAssignment>) -> Option<Name> {
    let assignment = assignment?;
    assignment.server.clone().or_else(|| assignment.demoted.clone())
}

/// A plan over the state in which the group was seen, with an attempt identifier drawn at random. Servers, voters and
/// the rest are for the caller to fill in.
pub(super) fn begin_plan(node: &Node, group: &Name, state: &GroupState) -> PromotionPlan {
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
        preferred: None,
        voters: Vec::new(),
        sync_group: None,
    }
}
