//! The servers whose acknowledgements count towards a pooled group's commits (its voters).
use super::super::voter_sets;
use super::servers::servers_of;
use crate::node::Node;
use quincehatch_core::{Name, PrimaryAssignment, Role, ServerState};
use quincehatch_failover::observation::GroupObservation;
use quincehatch_failover::voters::ReplicaObservation;
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// Returns what this node observes of each server of the group.
pub(super) fn observe_replicas(node: &Node, group: &Name) -> Vec<ReplicaObservation> {
    servers_of(node, group).iter().map(|server| observe_replica(server)).collect()
}

fn observe_replica(server: &ServerEntry) -> ReplicaObservation {
    let status = server.status.lock().unwrap();
    let failing_for = match status.failing_since {
        Some(since) => Some(now().saturating_sub(since)),
        // A server that has never answered counts as failing from now on.
        None if status.answered_at == 0 => Some(0),
        None => None,
    };
    ReplicaObservation { name: server.name.clone(), draining: status.draining_since.is_some(), failing_for }
}

/// Drops earlier voter sets once the primary shows all of its log. The log is then on two of the current voters, so the
/// earlier sets are no longer needed.
pub(super) fn drop_previous_voters(node: &Arc<Node>, group: &Name, observation: &GroupObservation) {
    let Some(assignment) = observation.primary.as_ref() else { return };
    if assignment.previous_voters.is_empty() || observation.not_primary_for.is_some() {
        return;
    }
    if !shows_complete_log(node, assignment) {
        return;
    }
    let (node, group, fence) = (node.clone(), group.clone(), assignment.fence);
    seam::spawn(async move { voter_sets::drop_previous_voters(&node, &group, fence).await });
}

/// Whether the assigned primary shows all of its log: it reports [`ServerState::Up`] only once it does.
fn shows_complete_log(node: &Node, assignment: &PrimaryAssignment) -> bool {
    let server = assignment.server.as_ref().and_then(|name| node.proxy.registry.server(name));
    let Some(server) = server else { return false };
    let heartbeat = server.heartbeat.read().unwrap();
    heartbeat.role == Role::Primary
        && heartbeat.fence == assignment.fence
        && heartbeat.state == ServerState::Up
}
