//! Plans and starts a promotion in a direct group.
use super::super::execution::run_promotion;
use super::super::group_state::GroupState;
use super::super::plan::{new_plan, old_primary};
use super::commit_holders::{departed_servers, possible_commit_holders};
use super::handover::{HandoverOutcome, hand_over, is_token_unused};
use super::repair::RESTORATIONS_END;
use crate::node::Node;
use quincehatch_core::{FencingToken, Name, PrimaryAssignment};
use quincehatch_failover::direct::candidate::SyncGroup;
use quincehatch_failover::promotion::{ListedServers, PromotionPlan};
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// Begins a promotion in a task of its own. A planned promotion is first attempted as a handover.
pub(super) fn begin_promotion(
    node: &Arc<Node>,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    state: &mut GroupState,
    planned: bool,
) {
    let plan = plan_promotion(node, group, servers, state, planned);
    let may_hand_over = planned && may_hand_over(state);
    state.planned_at_fence = state.latest_fence;
    state.promotion = Some(seam::spawn(run_handover_or_promotion(node.clone(), plan, may_hand_over)));
}

fn plan_promotion(
    node: &Node,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    state: &GroupState,
    planned: bool,
) -> PromotionPlan {
    let primary = state.primary.as_ref();
    let gathered_fence = node.promotion_state.acknowledged_bounds.primary_fence(group);
    let listed = listed_servers(node, group, servers, primary, gathered_fence);
    PromotionPlan {
        old_primary: old_primary(primary),
        server_count: listed.servers.len(),
        servers: listed.servers,
        planned,
        earlier_calls: !is_token_unused(state.latest_fence, open_assignment(state)),
        preferred: node.promotion_state.take_handover_request(group),
        voters: listed.voters,
        sync_group: Some(listed.sync_group),
        ..new_plan(node, group, state)
    }
}

/// Returns the group's servers, the voters of the next assignment, and the servers that may hold acknowledged commits.
pub(super) fn listed_servers(
    node: &Node,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    primary: Option<&PrimaryAssignment>,
    gathered_fence: Option<FencingToken>,
) -> ListedServers {
    let names = || servers.iter().map(|server| server.name.clone());
    let departed = departed_servers(node, group, servers, primary);
    let draining = servers.iter().filter(|server| server.is_draining()).map(|server| server.name.clone());
    ListedServers {
        servers: names().collect(),
        voters: names().chain(departed.iter().cloned()).collect(),
        sync_group: SyncGroup {
            sync_replicas: configured_sync_replicas(node, group),
            holders: possible_commit_holders(node, group, servers, primary),
            // A departed server may still answer.
            draining: draining.chain(departed).collect(),
            gathered_fence,
        },
    }
}

fn configured_sync_replicas(node: &Node, group: &Name) -> u64 {
    let state = node.proxy.registry.cluster_state();
    let group = state.configuration.as_ref().and_then(|configuration| configuration.group(group));
    group.and_then(|group| group.sync_replicas).unwrap_or(0)
}

/// Returns the group's assignment if it names a server.
fn open_assignment(state: &GroupState) -> Option<&PrimaryAssignment> {
    state.primary.as_ref().filter(|assignment| assignment.server.is_some())
}

/// Whether a handover may begin under the open assignment: no other promotion was begun under it, and nothing that the
/// promotion before started may still resume a replica.
fn may_hand_over(state: &GroupState) -> bool {
    is_token_unused(state.latest_fence, state.primary.as_ref())
        && now() >= state.primary_since + RESTORATIONS_END
}

async fn run_handover_or_promotion(node: Arc<Node>, mut plan: PromotionPlan, may_hand_over: bool) {
    if may_hand_over {
        match hand_over(&node, &plan).await {
            HandoverOutcome::Done => return,
            HandoverOutcome::Abandoned { platform_called } => plan.earlier_calls |= platform_called,
        }
    }
    // A failed handover may have acquired a fencing token. The promotion must expect that token, so that the one that
    // it acquires is higher.
    plan.expected_fence = plan.expected_fence.max(node.promotion_state.own_fence(&plan.group));
    run_promotion(node, plan).await;
}
