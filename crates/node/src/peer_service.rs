//! Ticks of the membership protocol, and the service on the gossip address that answers requests of other nodes.
mod queries;

use crate::node::Node;
use crate::promotion::direct::probe_unless_recent;
use crate::sessions;
use queries::answer_query;
use quincehatch_core::ServerHeartbeat;
use quincehatch_gossip::{GossipAction, NodeQuery, NodeRequest, NodeResponse};
use quincehatch_runtime::{now, seam};
use quincehatch_wire::ReceivedRequest;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of ticks between two repairs of session replicas, which thus run every 1.5 s.
const TICKS_PER_REPAIR: u64 = 30;
/// Largest number of connections from other processes.
const MAX_CONNECTIONS: usize = 512;

/// Ticks the membership protocol and periodically starts a repair of session replicas.
pub async fn run_membership(node: Arc<Node>) {
    let mut ticks = 0u64;
    loop {
        seam::sleep(TICK_INTERVAL).await;
        let actions = node.gossip.membership.lock().unwrap().tick(now());
        execute_actions(&node, actions);
        ticks += 1;
        if ticks.is_multiple_of(TICKS_PER_REPAIR) {
            seam::spawn(sessions::repair_replicas(node.clone()));
        }
    }
}

fn execute_actions(node: &Arc<Node>, actions: Vec<GossipAction>) {
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

/// Records a server's heartbeat, received from the server itself or over gossip. A heartbeat newer than the registry's
/// is also forwarded over gossip. Returns whether it was newer.
pub fn record_heartbeat(node: &Node, heartbeat: ServerHeartbeat) -> bool {
    let is_newer = node.proxy.registry.apply_heartbeat(heartbeat.clone());
    if is_newer {
        node.gossip.membership.lock().unwrap().disseminate_heartbeat(heartbeat);
    }
    is_newer
}

/// Handles a request of another process of the cluster.
pub fn handle_request(node: &Arc<Node>, request: NodeRequest) -> NodeResponse {
    match request {
        NodeRequest::Gossip { message } => {
            let actions = node.gossip.membership.lock().unwrap().handle_message(now(), message);
            execute_actions(node, actions);
            NodeResponse::Accepted
        }
        NodeRequest::Query { query } => NodeResponse::Reply { reply: answer_query(node, query) },
    }
}

/// Handles a request like [`handle_request`], but first probes a direct server whose evidence is requested, unless
/// there is a recent observation of it.
pub async fn handle_request_probing_first(node: &Arc<Node>, request: NodeRequest) -> NodeResponse {
    if let NodeRequest::Query { query: NodeQuery::ServerEvidence { server } } = &request
        && node.has_direct_servers()
    {
        probe_unless_recent(node, server).await;
    }
    handle_request(node, request)
}

/// Handles a frame of another process, and returns the response frame; `None` if the frame is not of this protocol.
pub async fn respond_to_frame(node: &Arc<Node>, frame: &[u8]) -> Option<Vec<u8>> {
    let handle = |request: NodeRequest| handle_request_probing_first(node, request);
    quincehatch_wire::respond(&node.gossip.identity, frame, handle).await.ok()
}

/// Handles a frame like [`respond_to_frame`], but synchronously: it probes no server.
pub fn respond_to_frame_without_probing(node: &Arc<Node>, frame: &[u8]) -> Option<Vec<u8>> {
    let identity = &node.gossip.identity;
    match quincehatch_wire::decode_request::<NodeRequest>(identity, frame).ok()? {
        ReceivedRequest::Request { call, request } => {
            let response = handle_request(node, request);
            quincehatch_wire::encode_answer_frame::<NodeRequest>(identity, call, &response).ok()
        }
        ReceivedRequest::Rejected(frame) => Some(frame),
    }
}

/// Serves the requests of other processes on the gossip address.
pub async fn serve(node: Arc<Node>, listener: TcpListener) {
    let identity = node.gossip.identity.clone();
    let handle = move |request: NodeRequest| {
        let node = node.clone();
        async move { handle_request_probing_first(&node, request).await }
    };
    quincehatch_wire::serve(listener, MAX_CONNECTIONS, identity, handle).await;
}
