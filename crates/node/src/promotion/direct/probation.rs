//! Ejected direct servers return to service on probation.
use super::polling::PRIMARY_INTERVAL;
use super::server_calls::query_status;
use crate::node::Node;
use quincehatch_core::Millis;
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_proxy::state::HealthState;
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// A server on probation must have what the primary was seen to hold this long ago.
const MAX_STALENESS: Millis = 1_500;
/// Nodes that probe as often as one alone.
const NODES_PER_INTERVAL: u64 = 16;

/// Probes ejected servers whose time is up: one that has what was seen of the primary goes on probation. Forgets
/// connections and statuses that are of no use any more.
pub(crate) fn probe_ejected_servers(node: &Arc<Node>) {
    let divisor = probe_divisor(node.gossip.live_nodes().len());
    let exists = |server: &_| node.feed_state.lock().unwrap().servers.contains_key(server);
    node.promotion_state.server_statuses.prune(divisor, exists);
    for server in node.proxy.registry.servers() {
        let interval = PRIMARY_INTERVAL * divisor;
        let asked_lately = now() < server.status.lock().unwrap().asked_at + interval;
        if asked_lately || !is_due_for_probation(node, &server) {
            continue;
        }
        server.status.lock().unwrap().asked_at = now();
        seam::spawn(probe_for_probation(node.clone(), server));
    }
}

/// By how much less often each node probes where many do.
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
        .with_primary_positions(&server.group(), |positions| positions.needed(now(), MAX_STALENESS));
    if required.is_some_and(|required| status.received >= required) {
        let group_health = node.proxy.registry.group_health(&server.group());
        server.health.lock().unwrap().status_succeeded(now(), group_health);
    }
}
