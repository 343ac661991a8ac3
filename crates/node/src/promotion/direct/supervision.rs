//! Supervision of one direct group whose promotion duty this node owns.
use super::super::evidence::{confirm_need, observe_group, observe_primary};
use super::super::group_state::GroupState;
use super::super::plan::old_primary;
use super::bound_refresh::refresh_acknowledged_bound;
use super::commit_holders::known_servers;
use super::handover::is_token_unused;
use super::initial_primary::assign_initial_primary;
use super::launch::begin_promotion;
use super::polling::poll_servers;
use super::repair::repair_stale_servers;
use crate::node::Node;
use quincehatch_core::{Millis, Name, PrimaryAssignment, Role};
use quincehatch_failover::direct::{REPLICATION_TIMEOUT, primary_failed, promotion_need};
use quincehatch_failover::observation::{GroupObservation, PromotionNeed, STUCK_PROMOTION_TIMEOUT};
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::now;
use std::sync::Arc;

/// The minimum time between two promotions because the primary is cut off, which means that no replica receives its
/// log.
const CUT_OFF_PAUSE: Millis = 15_000;

/// Polls and repairs the group's servers, refreshes its acknowledged bound, and begins a promotion if the group needs
/// one.
pub(crate) async fn supervise_group(node: &Arc<Node>, group: &Name, state: &mut GroupState) {
    let servers = known_servers(node, group);
    if servers.is_empty() {
        return;
    }
    poll_servers(node, &servers, state);
    repair_stale_servers(node, &servers, state);
    if now() < state.next_promotion_at {
        return;
    }
    if state.primary.is_none() {
        let other_began =
            state.since_other_promotion().is_some_and(|elapsed| elapsed < STUCK_PROMOTION_TIMEOUT);
        if !other_began {
            assign_initial_primary(node, group, &servers, state);
        }
        return;
    }
    let observation = observe(node, group, &servers, state);
    refresh_acknowledged_bound(node, group, &servers, state, &observation);
    let has_successor = has_successor(&servers, observation.primary.as_ref());
    let need = promotion_need(&observation, has_successor);
    let mut need = confirm_need(node, &observation, need, primary_failed(&observation)).await;
    if need == PromotionNeed::Nothing && has_successor && is_cut_off(state) {
        state.direct.cut_off_handled_at = now();
        let line = format!("no replica in {group} receives the primary's log");
        node.promotion_state.record_event(line);
        need = PromotionNeed::Now { planned: false };
    }
    if need == PromotionNeed::Nothing && has_successor && is_left_unfinished(state, &observation) {
        let line = format!("a promotion in {group} was begun and not finished");
        node.promotion_state.record_event(line);
        need = PromotionNeed::Now { planned: true };
    }
    let PromotionNeed::Now { planned } = need else { return };
    begin_promotion(node, group, &servers, state, planned);
}

fn observe(
    node: &Node,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    state: &mut GroupState,
) -> GroupObservation {
    let mut observation = observe_group(node, group, state, servers);
    let completed_fence = node.promotion_state.completed_fence(group);
    if state.was_left_unfinished_by(&node.gossip.local_name, completed_fence) {
        observation.primary_unchanged_for = observation.primary_unchanged_for.max(STUCK_PROMOTION_TIMEOUT);
    }
    let Some(name) = state.primary_server() else { return observation };
    observation.unregistered = !node.feed_state.lock().unwrap().servers.contains_key(&name);
    // A node that started after the server had left has no registry entry for it.
    let Some(primary) = node.proxy.registry.server(&name) else { return observation };
    observe_primary(node, group, &primary, &mut observation);
    let sample = node.promotion_state.server_statuses.latest_since(&primary.name, state.primary_since);
    let denies_primary_role = sample.is_some_and(|sample| sample.status.role != Role::Primary);
    state.not_primary_since =
        if denies_primary_role { state.not_primary_since.or(Some(now())) } else { None };
    observation.not_primary_for = state.not_primary_since.map(|since| now().saturating_sub(since));
    observation
}

/// Whether a server other than the primary answers and is not draining, so that it could take over.
fn has_successor(servers: &[Arc<ServerEntry>], primary: Option<&PrimaryAssignment>) -> bool {
    let old_primary = old_primary(primary);
    let answers = |server: &ServerEntry| {
        server.status.lock().unwrap().failing_since.is_none() && server.answered_recently()
    };
    servers
        .iter()
        .any(|server| Some(&server.name) != old_primary.as_ref() && !server.is_draining() && answers(server))
}

/// Whether no replica receives the primary's log any more, and no promotion was begun recently because of that.
fn is_cut_off(state: &GroupState) -> bool {
    let handled_at = state.direct.cut_off_handled_at;
    let handled_recently = handled_at != 0 && now() < handled_at + CUT_OFF_PAUSE;
    state.direct.replicas_behind_for >= REPLICATION_TIMEOUT && !handled_recently
}

/// Whether a promotion was begun under the open assignment and its coordinator has stopped. It may have left replicas
/// suspended, which are not resumed under this assignment.
fn is_left_unfinished(state: &GroupState, observation: &GroupObservation) -> bool {
    state.primary_server().is_some()
        && !is_token_unused(state.latest_fence, state.primary.as_ref())
        && !observation.yields_to_other_promotion()
}
