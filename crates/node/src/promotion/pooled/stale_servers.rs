//! Fencing of servers that have not received the current fencing token.
use super::super::group_state::GroupState;
use super::servers::servers_of;
use crate::node::Node;
use quincehatch_core::{Millis, Name};
use quincehatch_proxy::server_protocol::call;
use quincehatch_runtime::now;
use std::time::Duration;

const FENCE_INTERVAL: Millis = 1_000;
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends the current fencing token to servers that have a lower one. An old primary that returns thereby learns that it
/// is no longer the primary.
pub(super) async fn fence_stale_servers(node: &Node, group: &Name, state: &mut GroupState) {
    let Some(assignment) = state.primary.clone().filter(|assignment| assignment.server.is_some()) else {
        return;
    };
    if now() < state.stale_servers_fenced_at + FENCE_INTERVAL {
        return;
    }
    state.stale_servers_fenced_at = now();
    for server in servers_of(node, group) {
        let is_primary = Some(&server.name) == assignment.server.as_ref();
        let has_lower_fence = server.heartbeat.read().unwrap().fence < assignment.fence;
        if !is_primary && has_lower_fence && server.status.lock().unwrap().failing_since.is_none() {
            let request = call::fence(assignment.fence);
            let _ = node.proxy.call_once(&server.addr(), &request, CALL_TIMEOUT).await;
        }
    }
}
