//! What a node does for its peers: gossip ticks, and answers to the requests of other nodes.
mod queries;

use crate::node::Node;
use crate::promotion::direct::probe_unless_recent;
use crate::sessions;
use queries::answer_query;
use quincehatch_core::ServerHeartbeat;
use quincehatch_gossip::{GossipAction, NodeQuery, NodeRequest, NodeResponse};
use quincehatch_runtime::{now, seam};
use quincehatch_wire::Received;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Session replicas are compared with another node's once in so many ticks: every 1.5 s.
const TICKS_PER_REPAIR: u64 = 30;
/// Connections from other processes at most.
const MAX_CONNECTIONS: usize = 512;

/// Ticks the membership protocol, and repairs session replicas now and then.
pub async fn run_membership(node: Arc<Node>) {
    let mut ticks = 0u64;
    loop {
        seam::sleep(TICK_INTERVAL).await;
        let actions = node.gossip.membership.lock().unwrap().tick(now());
        carry_out(&node, actions);
        ticks += 1;
        if ticks.is_multiple_of(TICKS_PER_REPAIR) {
            seam::spawn(sessions::repair_replicas(node.clone()));
        }
    }
}

fn carry_out(node: &Arc<Node>, actions: Vec<GossipAction>) {
    for action in actions {
        match action {
            GossipAction::Send(to, message) => node.gossip.send(to, message),
            GossipAction::Heartbeats(heartbeats) => {
                for heartbeat in heartbeats {
                    record_heartbeat(node, heartbeat);
                }
            }
            GossipAction::StatusChanged(name, status) => {
                log::info!(target: "gossip", "node {name} is now {status:?}");
            }
        }
    }
}

/// Takes a server's heartbeat, from the server itself or over gossip. One that is newer than the registry's is recorded
/// and spread on. Returns whether it was newer.
pub fn record_heartbeat(node: &Node, heartbeat: ServerHeartbeat) -> bool {
    let is_newer = node.proxy.registry.apply_heartbeat(heartbeat.clone());
    if is_newer {
        node.gossip.membership.lock().unwrap().disseminate_heartbeat(heartbeat);
    }
    is_newer
}

/// Handles what another process of the cluster sent.
pub fn handle_request(node: &Arc<Node>, request: NodeRequest) -> NodeResponse {
    match request {
        NodeRequest::Gossip { message } => {
            let actions = node.gossip.membership.lock().unwrap().handle_message(now(), message);
            carry_out(node, actions);
            NodeResponse::Accepted
        }
        NodeRequest::Query { query } => NodeResponse::Reply { reply: answer_query(node, query) },
    }
}

/// The same, but a direct server whose evidence is asked for is probed first if it was not heard of lately.
pub async fn handle_request_probing_first(node: &Arc<Node>, request: NodeRequest) -> NodeResponse {
    if let NodeRequest::Query { query: NodeQuery::ServerEvidence { server } } = &request
        && node.has_direct_servers()
    {
        probe_unless_recent(node, server).await;
    }
    handle_request(node, request)
}

/// Answers a frame of another process; none if it is no frame of this protocol.
pub async fn respond_to_frame(node: &Arc<Node>, frame: &[u8]) -> Option<Vec<u8>> {
    let handle = |request: NodeRequest| handle_request_probing_first(node, request);
    quincehatch_wire::respond(&node.gossip.identity, frame, handle).await.ok()
}

/// The same without probing any server, so that nothing is waited for.
pub fn respond_without_probing(node: &Arc<Node>, frame: &[u8]) -> Option<Vec<u8>> {
    let identity = &node.gossip.identity;
    match quincehatch_wire::receive::<NodeRequest>(identity, frame).ok()? {
        Received::Request { call, request } => {
            let response = handle_request(node, request);
            quincehatch_wire::encode_answer_frame::<NodeRequest>(identity, call, &response).ok()
        }
        Received::Rejected(frame) => Some(frame),
    }
}

/// Answers other processes on the gossip address.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let identity = node.gossip.identity.clone();
    let handle = move |request: NodeRequest| {
        let node = node.clone();
        async move { handle_request_probing_first(&node, request).await }
    };
    quincehatch_wire::serve(listener, MAX_CONNECTIONS, identity, handle).await;
}
