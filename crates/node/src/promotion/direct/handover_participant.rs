//! A node's part in a handover that another node coordinates: it finds out which commits the successor holds, as only
//! these may be acknowledged.
use super::server_calls::query_status;
use crate::node::Node;
use quincehatch_core::{FencingToken, Name, Role};
use quincehatch_gossip::NodeReply;
use quincehatch_proxy::registry::Registry;
use quincehatch_proxy::routing::acknowledged::SuccessorReport;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// The pause between two queries while a commit waits for the successor.
const STATUS_INTERVAL: Duration = Duration::from_millis(10);
/// How often a node without pending commits checks whether the handover has ended.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// Takes part in a handover. Once the answer says so, this node acknowledges, of the commits that were sent under a lower
/// fence, only those that the successor holds.
pub(crate) fn join(node: &Arc<Node>, group: &Name, fence: FencingToken, successor: &Name) -> NodeReply {
    let registry = &node.proxy.registry;
    if registry.join_handover(group, fence, successor) {
        seam::spawn(follow_successor(node.clone(), group.clone(), fence, successor.clone()));
    }
    NodeReply::JoinedHandover { joined: registry.has_joined_handover(group, fence, successor) }
}

/// Queries the successor while commits are pending, until it leads, the assignment is closed or replaced, or another
/// handover begins.
async fn follow_successor(node: Arc<Node>, group: Name, fence: FencingToken, successor: Name) {
    let registry = &node.proxy.registry;
    let mut pending = registry.commit_pending.notified();
    while is_under_way(registry, &group, fence, &successor) {
        let is_pending = seam::timeout(IDLE_INTERVAL, pending).await.is_ok();
        // Registered before the query, so that a commit which arrives meanwhile is not missed.
        pending = registry.commit_pending.notified();
        if !is_pending {
            continue;
        }
        if let Some(status) = query_status(&node, &successor).await {
            // What a server of a new term reports of the old term, it held when it took over.
            registry.record_successor(&group, fence, SuccessorReport::Received(status.received));
            if status.role == Role::Primary {
                return registry.record_successor(&group, fence, SuccessorReport::Leads);
            }
        }
        seam::sleep(STATUS_INTERVAL).await;
    }
}

fn is_under_way(registry: &Registry, group: &Name, fence: FencingToken, successor: &Name) -> bool {
    let assigned_fence = registry.primary(group).map_or(0, |assignment| assignment.fence);
    assigned_fence < fence && registry.has_joined_handover(group, fence, successor)
}
