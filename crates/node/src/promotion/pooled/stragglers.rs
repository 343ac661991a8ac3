//! Servers that have not heard of the fencing token in force.
use super::super::group_state::GroupState;
use super::servers::servers_of;
use crate::node::Node;
use quincehatch_core::{Millis, Name};
use quincehatch_proxy::server_protocol::call;
use quincehatch_runtime::now;
use std::time::Duration;

const INTERVAL: Millis = 1_000;
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells servers with a lower fencing token the one in force: an old primary that returns is the primary no more.
pub(super) async fn fence_stragglers(node: &Node, group: &Name, state: &mut GroupState) {
    let Some(assignment) = state.primary.clone().filter(|assignment| assignment.server.is_some()) else {
        return;
    };
    if now() < state.stragglers_fenced_at + INTERVAL {
        return;
    }
    state.stragglers_fenced_at = now();
    for server in servers_of(node, group) {
        let is_primary = Some(&server.name) == assignment.server.as_ref();
        let has_lower_fence = server.heartbeat.read().unwrap().fence < assignment.fence;
        if !is_primary && has_lower_fence && server.status.lock().unwrap().failing_since.is_none() {
            let request = call::fence(assignment.fence);
            let _ = node.proxy.call_once(&server.addr(), &request, CALL_TIMEOUT).await;
        }
    }
}
