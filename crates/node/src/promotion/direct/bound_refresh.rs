//! Periodic refresh of a direct group's acknowledged bound.
use super::super::group_state::GroupState;
use super::super::voter_sets::drop_previous_voters;
use super::acknowledged::{BoundedPrimary, refresh_bound};
use super::polling::PRIMARY_POLL_INTERVAL;
use crate::node::Node;
use quincehatch_core::{Millis, Name, PrimaryAssignment};
use quincehatch_failover::observation::GroupObservation;
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// The interval between two refreshes of a group's acknowledged bound.
const BOUND_INTERVAL: Millis = 3_000;

/// Starts a refresh of the group's acknowledged bound if one is due and the primary answers. Once the bound is found,
/// all servers hold what earlier voter sets acknowledged, so these sets are dropped.
pub(super) fn refresh_acknowledged_bound(
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
            drop_previous_voters(&node, &primary.group, primary.fence).await;
        }
    }));
}

fn is_refresh_due(node: &Node, group: &Name, state: &GroupState, assignment: &PrimaryAssignment) -> bool {
    let is_running = state.direct.bound_refresh.as_ref().is_some_and(|task| !task.is_finished());
    let found_under = node.promotion_state.acknowledged_bounds.primary_fence(group);
    let interval = if found_under == Some(assignment.fence) { BOUND_INTERVAL } else { PRIMARY_POLL_INTERVAL };
    !is_running && now() >= state.direct.bound_refreshed_at + interval
}
