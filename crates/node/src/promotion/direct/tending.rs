//! Looks after one direct group whose duty this node owns.
use super::super::attempt::{begin_plan, old_primary};
use super::super::evidence::{observe_group, observe_primary, others_confirm, suspected_failure};
use super::super::execution::run_promotion;
use super::super::group_state::GroupState;
use super::acknowledged::{BoundedPrimary, refresh_bound};
use super::handover::hand_over;
use super::holders::{departed_servers, holders, known_servers};
use super::initial_primary::assign_first;
use super::polling::{PRIMARY_INTERVAL, poll_servers};
use super::repair::repair_stale_servers;
use crate::node::Node;
use quincehatch_core::{Millis, Name, PrimaryAssignment, Role};
use quincehatch_failover::direct::candidate::SyncGroup;
use quincehatch_failover::direct::{CUT_OFF_AFTER, primary_failed, promotion_need};
use quincehatch_failover::observation::{GroupObservation, PromotionNeed, STUCK_AFTER};
use quincehatch_failover::promotion::PromotionPlan;
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::{now, seam};
use quincehatch_store::Command;
use quincehatch_store::store::promotion_duty_key;
use std::sync::Arc;
use std::time::Duration;

/// How often the acknowledged bound of a group is found anew.
const BOUND_INTERVAL: Millis = 3_000;
/// A primary that no replica receives from is replaced no oftener than this.
const CUT_OFF_PAUSE: Millis = 15_000;
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Polls the group's servers, and begins a promotion if the group needs one.
pub(crate) async fn tend_group(node: &Arc<Node>, group: &Name, state: &mut GroupState) {
    let servers = known_servers(node, group);
    if servers.is_empty() {
        return;
    }
    poll_servers(node, &servers, state);
    repair_stale_servers(node, &servers, state);
    if now() < state.pause_until {
        return;
    }
    if state.primary.is_none() {
        let other_began = state.other_promotion_for().is_some_and(|elapsed| elapsed < STUCK_AFTER);
        if !other_began {
            assign_first(node, group, &servers, state);
        }
        return;
    }
    let observation = observe(node, group, &servers, state);
    refresh_acknowledged_bound(node, group, &servers, state, &observation);
    let has_successor = has_successor(&servers, observation.primary.as_ref());
    let planned = match promotion_need(&observation, has_successor) {
        PromotionNeed::Nothing if has_successor && is_cut_off(state) => {
            state.direct.cut_off_handled_at = now();
            let line = format!("no replica in {group} receives what its primary has");
            node.promotion_state.record_event(line);
            false
        }
        PromotionNeed::Nothing => return,
        PromotionNeed::Now { planned } => planned,
        PromotionNeed::Confirm => {
            let suspected = suspected_failure(primary_failed(&observation));
            if !others_confirm(node, &observation, suspected).await {
                return;
            }
            false
        }
    };
    begin_promotion(node, group, &servers, state, planned);
}

fn observe(
    node: &Node,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    state: &mut GroupState,
) -> GroupObservation {
    let mut observation = observe_group(node, group, state, servers);
    // A promotion that this node itself left unfinished is no one else's to finish.
    let left_by_this_node = state.primary.as_ref().is_some_and(|assignment| {
        assignment.server.is_none() && assignment.assigned_by == node.gossip.local_name
    });
    if left_by_this_node {
        observation.primary_unchanged_for = observation.primary_unchanged_for.max(STUCK_AFTER);
    }
    let primary = state.primary_server().and_then(|name| node.proxy.registry.server(&name));
    let Some(primary) = primary else { return observation };
    observe_primary(node, group, &primary, &mut observation);
    let sample = node.promotion_state.server_statuses.latest_since(&primary.name, state.primary_since);
    let denies = sample.is_some_and(|sample| sample.status.role != Role::Primary);
    state.not_primary_since = if denies { state.not_primary_since.or(Some(now())) } else { None };
    observation.not_primary_for = state.not_primary_since.map(|since| now().saturating_sub(since));
    observation
}

/// Whether a server that stays and answers could take over.
fn has_successor(servers: &[Arc<ServerEntry>], primary: Option<&PrimaryAssignment>) -> bool {
    let old_primary = old_primary(primary);
    let answers = |server: &ServerEntry| {
        server.status.lock().unwrap().failing_since.is_none() && server.answered_recently()
    };
    servers
        .iter()
        .any(|server| Some(&server.name) != old_primary.as_ref() && !server.is_draining() && answers(server))
}

/// Whether the primary's log reaches no replica any more, and that was not acted on lately.
fn is_cut_off(state: &GroupState) -> bool {
    let handled_at = state.direct.cut_off_handled_at;
    let handled_lately = handled_at != 0 && now() < handled_at + CUT_OFF_PAUSE;
    state.direct.replicas_behind_for >= CUT_OFF_AFTER && !handled_lately
}

/// Begins a promotion in a task of its own: a planned one as a handover, if that can be had.
pub(super) fn begin_promotion(
    node: &Arc<Node>,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    state: &mut GroupState,
    planned: bool,
) {
    let plan = plan_promotion(node, group, servers, state, planned);
    state.planned_at_fence = state.latest_fence;
    state.promotion = Some(seam::spawn(promote(node.clone(), plan)));
}

fn plan_promotion(
    node: &Node,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    state: &GroupState,
    planned: bool,
) -> PromotionPlan {
    let names = || servers.iter().map(|server| server.name.clone());
    let draining = servers.iter().filter(|server| server.is_draining());
    let sync_group = SyncGroup {
        sync_replicas: configured_sync_replicas(node, group),
        holders: holders(node, group, servers, state.primary.as_ref()),
        draining: draining.map(|server| server.name.clone()).collect(),
        gathered_under: node.promotion_state.acknowledged_bounds.primary_fence(group),
    };
    PromotionPlan {
        old_primary: old_primary(state.primary.as_ref()),
        servers: names().collect(),
        server_count: servers.len(),
        planned,
        preferred: node.promotion_state.take_handover_request(group),
        voters: names().chain(departed_servers(node, group, servers)).collect(),
        sync_group: Some(sync_group),
        ..begin_plan(node, group, state)
    }
}

fn configured_sync_replicas(node: &Node, group: &Name) -> u64 {
    let state = node.proxy.registry.cluster_state();
    let group = state.configuration.as_ref().and_then(|configuration| configuration.group(group));
    group.and_then(|group| group.sync_replicas).unwrap_or(0)
}

async fn promote(node: Arc<Node>, mut plan: PromotionPlan) {
    if plan.planned && hand_over(&node, &plan).await {
        return;
    }
    // A handover that did not succeed took a fencing token, above which the promotion goes on.
    plan.expected_fence = plan.expected_fence.max(node.promotion_state.own_fence(&plan.group));
    run_promotion(node, plan).await;
}

/// Finds the acknowledged bound anew now and then, while the primary answers. Once it is found, all servers hold what
/// earlier voter sets acknowledged, and these are dropped.
fn refresh_acknowledged_bound(
    node: &Arc<Node>,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    state: &mut GroupState,
    observation: &GroupObservation,
) {
    let Some(assignment) = observation.primary.as_ref() else { return };
    let Some(server) = assignment.server.clone() else { return };
    if observation.failing_for.is_some() || !is_refresh_due(node, group, state, assignment) {
        return;
    }
    state.direct.bound_refreshed_at = now();
    let others = servers.iter().map(|server| server.name.clone()).filter(|name| *name != server);
    let replicas = others.collect();
    let has_previous_voters = !assignment.previous_voters.is_empty();
    let primary = BoundedPrimary { group: group.clone(), server, fence: assignment.fence, replicas };
    let node = node.clone();
    state.direct.bound_refresh = Some(seam::spawn(async move {
        if refresh_bound(&node, &primary).await && has_previous_voters {
            drop_previous_voters(&node, primary).await;
        }
    }));
}

fn is_refresh_due(node: &Node, group: &Name, state: &GroupState, assignment: &PrimaryAssignment) -> bool {
    let is_running = state.direct.bound_refresh.as_ref().is_some_and(|task| !task.is_finished());
    let found_under = node.promotion_state.acknowledged_bounds.primary_fence(group);
    let interval = if found_under == Some(assignment.fence) { BOUND_INTERVAL } else { PRIMARY_INTERVAL };
    !is_running && now() >= state.direct.bound_refreshed_at + interval
}

async fn drop_previous_voters(node: &Node, primary: BoundedPrimary) {
    let fence = primary.fence;
    let key = format!("{}/lists/{fence}", promotion_duty_key(&primary.group));
    let command = Command::DropPreviousVoters { group: primary.group, fence };
    let _ = node.store_client.write(&key, command, WRITE_TIMEOUT).await;
}
