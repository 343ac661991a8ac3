//! Assignment of a direct group's first primary.
use super::super::fence::{FenceOutcome, FenceRequest, acquire_fence};
use super::super::group_state::GroupState;
use super::launch::begin_promotion;
use crate::node::Node;
use quincehatch_core::{FencingToken, Millis, Name, PrimaryAssignment, Role};
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_runtime::{now, seam};
use quincehatch_store::store::promotion_role_key;
use quincehatch_store::{Command, PrimaryState};
use std::sync::Arc;
use std::time::Duration;

/// If not exactly one server reports that it is the primary, a server is promoted after this delay.
const PROMOTION_DELAY: Millis = 3_000;
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// Assigns the first primary. If exactly one server reports that it is the primary, that server is assigned, and no
/// server is suspended or promoted. Otherwise a promotion begins after a delay.
pub(super) fn assign_initial_primary(
    node: &Arc<Node>,
    group: &Name,
    servers: &[Arc<ServerEntry>],
    state: &mut GroupState,
) {
    let claimants: Vec<&Name> = servers
        .iter()
        .filter(|server| reported_role(node, server) == Role::Primary)
        .map(|server| &server.name)
        .collect();
    if let [server] = claimants[..] {
        // A heartbeat may be out of date: the server must also have reported the role in answer to a status query.
        if queried_role(node, server) == Some(Role::Primary) {
            let claim = PrimaryClaim {
                group: group.clone(),
                server: server.clone(),
                voters: servers.iter().map(|server| server.name.clone()).collect(),
                expected_fence: state.latest_fence,
            };
            state.planned_at_fence = state.latest_fence;
            state.promotion = Some(seam::spawn(adopt_primary(node.clone(), claim)));
        }
    } else if now() >= state.primary_since + PROMOTION_DELAY {
        begin_promotion(node, group, servers, state, false);
    }
}

fn queried_role(node: &Node, server: &Name) -> Option<Role> {
    node.promotion_state.server_statuses.latest(server).map(|sample| sample.status.role)
}

fn reported_role(node: &Node, server: &ServerEntry) -> Role {
    queried_role(node, &server.name).unwrap_or_else(|| server.heartbeat.read().unwrap().role)
}

/// A server that already is the primary of its group, although no assignment names it.
struct PrimaryClaim {
    group: Name,
    server: Name,
    voters: Vec<Name>,
    /// The latest fencing token of the group when the claim was seen.
    expected_fence: FencingToken,
}

async fn adopt_primary(node: Arc<Node>, claim: PrimaryClaim) {
    let coordinator = node.gossip.local_name.clone();
    let duty = promotion_role_key(&claim.group);
    let key = format!("{duty}/{coordinator}/first/{:x}", fastrand::u64(..));
    let expected = PrimaryState { fence: claim.expected_fence, primary: None };
    let request = FenceRequest { key: &key, group: &claim.group, coordinator: &coordinator, expected };
    let FenceOutcome::Granted(fence) = acquire_fence(&node, request, WRITE_TIMEOUT).await else { return };
    let (group, server) = (claim.group, claim.server);
    let primary = PrimaryAssignment {
        fence,
        server: Some(server.clone()),
        assigned_by: coordinator,
        voters: claim.voters,
        ..Default::default()
    };
    let command = Command::AssignPrimary { group: group.clone(), primary };
    let assigned = node.store_client.write(&format!("{key}/name"), command, WRITE_TIMEOUT).await.is_ok();
    let line = format!(
        "server {server} already is the primary of {group}; assigned under fence {fence}: {assigned}"
    );
    node.promotion_state.record_event(line);
}
