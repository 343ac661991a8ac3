//! Return of ejected direct servers to service on probation.
use super::polling::PRIMARY_POLL_INTERVAL;
use super::server_calls::query_status;
use crate::node::Node;
use quincehatch_core::Millis;
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_proxy::state::HealthState;
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// To go on probation, a server must have received what the primary was observed to hold this long ago.
const MAX_STALENESS: Millis = 1_500;
/// The number of live nodes up to which each node probes at the full rate; in larger clusters each probes less often.
const NODES_PER_INTERVAL: u64 = 16;

/// Probes ejected servers that are due for probation; a server that has received the required part of the primary's log
/// goes on probation. Also removes idle connections and the statuses of servers that no longer exist.
pub(crate) fn probe_ejected_servers(node: &Arc<Node>) {
    let divisor = probe_divisor(node.gossip.live_nodes().len());
    let exists = |server: &_| node.feed_state.lock().unwrap().servers.contains_key(server);
    node.promotion_state.server_statuses.prune(divisor, exists);
    for server in node.proxy.registry.servers() {
        let interval = PRIMARY_POLL_INTERVAL * divisor;
        let queried_recently = now() < server.status.lock().unwrap().queried_at + interval;
        if queried_recently || !is_due_for_probation(node, &server) {
            continue;
        }
        server.status.lock().unwrap().queried_at = now();
        seam::spawn(probe_for_probation(node.clone(), server));
    }
}

/// Returns the factor by which each node lengthens its probe interval in a large cluster.
fn probe_divisor(live_nodes: usize) -> u64 {
    (live_nodes as u64 / NODES_PER_INTERVAL).max(1)
}

fn is_due_for_probation(node: &Node, server: &ServerEntry) -> bool {
    if server.health.lock().unwrap().state != HealthState::Ejected {
        return false;
    }
    let group_health = node.proxy.registry.group_health(&server.group());
    now() >= server.health.lock().unwrap().probation_due_at(group_health)
}

async fn probe_for_probation(node: Arc<Node>, server: Arc<ServerEntry>) {
    let Some(status) = query_status(&node, &server.name).await else { return };
    let required = node
        .proxy
        .registry
        .with_primary_positions(&server.group(), |positions| positions.required_at(now(), MAX_STALENESS));
    if required.is_some_and(|required| status.received >= required) {
        let group_health = node.proxy.registry.group_health(&server.group());
        server.health.lock().unwrap().status_succeeded(now(), group_health);
    }
}
