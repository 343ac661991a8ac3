//! What the owner of a pooled group's duty observes of the group.
use super::super::evidence::{observe_group, observe_primary};
use super::super::group_state::GroupState;
use super::servers::servers_of;
use super::voters::observe_replicas;
use crate::node::Node;
use quincehatch_core::{Name, Role, ServerState};
use quincehatch_failover::observation::GroupObservation;
use quincehatch_failover::voters::membership_changed;
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::now;
use std::sync::Arc;

/// The label with which servers declare how many servers their group has.
const SERVER_COUNT_LABEL: &str = "copies";
/// The number of servers in a group if none of its servers declares it.
const DEFAULT_SERVER_COUNT: usize = 3;

/// Observes the group, and records in `state` since when conditions have held.
pub(super) fn observe(node: &Node, group: &Name, state: &mut GroupState) -> GroupObservation {
    let servers = servers_of(node, group);
    let mut observation = observe_group(node, group, state, &servers);
    observation.server_count = declared_server_count(&servers);
    observe_membership(node, group, state, &mut observation);
    let assigned = state.primary_server();
    let Some(primary) = servers.iter().find(|server| Some(&server.name) == assigned.as_ref()) else {
        return observation;
    };
    let status = observe_primary(node, group, primary, &mut observation);
    let answers = status.failing_since.is_none() && status.answered_at > 0;
    let denies_primary_role = answers && !reports_primary(primary, state);
    state.not_primary_since =
        if denies_primary_role { state.not_primary_since.or(Some(now())) } else { None };
    observation.not_primary_for = state.not_primary_since.map(|since| now().saturating_sub(since));
    observation
}

fn declared_server_count(servers: &[Arc<ServerEntry>]) -> usize {
    let declared = servers.iter().filter_map(|server| {
        let heartbeat = server.heartbeat.read().unwrap();
        heartbeat.labels.get(SERVER_COUNT_LABEL).and_then(|count| count.parse().ok())
    });
    declared.max().unwrap_or(DEFAULT_SERVER_COUNT)
}

fn observe_membership(node: &Node, group: &Name, state: &mut GroupState, observation: &mut GroupObservation) {
    let voters = state.primary.as_ref().map_or(&[][..], |assignment| &assignment.voters);
    let replicas = observe_replicas(node, group);
    let changed = membership_changed(observation.server_count, &replicas, voters);
    state.membership_changed_since =
        if changed { state.membership_changed_since.or(Some(now())) } else { None };
    observation.membership_changed_for = state.membership_changed_since.map(|since| now() - since);
}

/// Whether the server's last heartbeat reports that it is the primary under the current assignment.
fn reports_primary(server: &ServerEntry, state: &GroupState) -> bool {
    let assigned_fence = state.primary.as_ref().map(|assignment| assignment.fence);
    let heartbeat = server.heartbeat.read().unwrap();
    heartbeat.role == Role::Primary
        && Some(heartbeat.fence) == assigned_fence
        && heartbeat.state != ServerState::Starting
}
