//! Finds the evidence that commits wait for before they are acknowledged: which of them the successor of a handover holds,
//! or a replica that the store knows.
use super::commit_holders::known_servers;
use super::server_calls::query_status;
use crate::node::Node;
use quincehatch_core::{FencingToken, Name, Role};
use quincehatch_proxy::registry::ServerEntry;
use quincehatch_proxy::routing::commit_evidence::{PendingEvidence, SuccessorReport};
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// The pause between two rounds of queries while commits wait.
const QUERY_INTERVAL: Duration = Duration::from_millis(10);

/// Queries servers whenever commits wait for evidence, until the process ends.
pub(crate) async fn find_awaited_evidence(node: Arc<Node>) {
    let registry = &node.proxy.registry;
    loop {
        registry.evidence_awaited.notified().await;
        let awaited = registry.take_awaited_evidence();
        seam::join_all(awaited.into_iter().map(|(group, evidence)| find(&node, group, evidence))).await;
        seam::sleep(QUERY_INTERVAL).await;
    }
}

async fn find(node: &Node, group: Name, evidence: PendingEvidence) {
    match evidence {
        PendingEvidence::Successor { fence, successor } => {
            query_successor(node, &group, fence, &successor).await
        }
        PendingEvidence::Replicas => query_replicas(node, &group).await,
    }
}

async fn query_successor(node: &Node, group: &Name, fence: FencingToken, successor: &Name) {
    let Some(status) = query_status(node, successor).await else { return };
    let registry = &node.proxy.registry;
    // What a server that leads reports of the old term, it held when it took over.
    registry.record_successor(group, fence, SuccessorReport::Received(status.received));
    if status.role == Role::Primary {
        registry.record_successor(group, fence, SuccessorReport::Leads);
    }
}

async fn query_replicas(node: &Node, group: &Name) {
    let registry = &node.proxy.registry;
    let mut replicas = known_servers(node, group);
    replicas.retain(|server| !registry.is_primary(group, &server.name));
    // One that does not answer would delay the next round; it is queried only if no other is left.
    let answers = |server: &Arc<ServerEntry>| server.status.lock().unwrap().failing_since.is_none();
    if replicas.iter().any(answers) {
        replicas.retain(answers);
    }
    let queries = replicas.iter().map(|server| async {
        if let Some(status) = query_status(node, &server.name).await {
            registry.record_replica(group, status.received);
        }
    });
    seam::join_all(queries).await;
}
