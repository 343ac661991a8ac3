//! Promotion in pooled groups, whose servers check fencing tokens and keep a majority-acknowledged log.
mod actions;
mod observation;
mod servers;
mod stale_servers;
mod voters;

pub(super) use actions::{fence_server, promote_server};

use super::evidence::confirm_need;
use super::execution::run_promotion;
use super::group_state::GroupState;
use super::plan::{new_plan, old_primary};
use crate::node::Node;
use observation::observe;
use quincehatch_core::Name;
use quincehatch_failover::observation::{GroupObservation, PromotionNeed};
use quincehatch_failover::pooled::{primary_failed, promotion_need};
use quincehatch_failover::promotion::PromotionPlan;
use quincehatch_failover::voters::next_voters;
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// Supervises one group whose duty this node owns: fences servers with a stale token, drops voter sets that are no
/// longer needed, and begins a promotion if the group needs one.
pub(super) async fn supervise_group(node: &Arc<Node>, group: &Name, state: &mut GroupState) {
    let observation = observe(node, group, state);
    stale_servers::fence_stale_servers(node, group, state).await;
    voters::drop_previous_voters(node, group, &observation);
    if now() < state.next_promotion_at {
        return;
    }
    let need = promotion_need(&observation);
    let need = confirm_need(node, &observation, need, primary_failed(&observation)).await;
    let PromotionNeed::Now { planned } = need else { return };
    let plan = plan_promotion(node, state, group, &observation, planned);
    state.planned_at_fence = state.latest_fence;
    state.promotion = Some(seam::spawn(run_promotion(node.clone(), plan)));
}

fn plan_promotion(
    node: &Node,
    state: &GroupState,
    group: &Name,
    observation: &GroupObservation,
    planned: bool,
) -> PromotionPlan {
    let requested = node.promotion_state.take_handover_request(group);
    let assignment = observation.primary.as_ref();
    let old_primary = old_primary(assignment);
    // If only the group's servers have changed, the same primary is promoted again under a new fencing token.
    let keeps_primary = planned && !observation.draining && !observation.handover_requested;
    let voters = assignment.map_or(&[][..], |assignment| &assignment.voters);
    PromotionPlan {
        preferred: if keeps_primary { old_primary.clone() } else { requested },
        old_primary,
        servers: observation.servers.clone(),
        server_count: observation.server_count,
        planned,
        voters: next_voters(observation.server_count, &voters::observe_replicas(node, group), voters),
        ..new_plan(node, group, state)
    }
}
