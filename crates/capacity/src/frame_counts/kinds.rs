//! Kinds of frames, and their counts.
use quincehatch_gossip::{GossipMessage, NodeQuery, NodeRequest};
use quincehatch_simulator::fleet::network::FrameHandler;
use quincehatch_simulator::fleet::simulation::Simulation;
use quincehatch_store::{KeeperRequest, Request};
use quincehatch_wire::{Call, IncomingFrame, LENGTH_BYTES, RequestHeader};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex};

/// Requests of one kind and their responses. The size of each frame includes its length prefix.
#[derive(Clone, Copy, Debug, Default)]
pub struct FrameCount {
    /// Number of requests.
    pub requests: u64,
    /// Size of the requests, in bytes.
    pub request_bytes: u64,
    /// Size of the responses, in bytes.
    pub response_bytes: u64,
}

/// The kind of request that a frame contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FrameKind {
    /// Polls of nodes for changes at the tail.
    Feed,
    /// Commands for the replicated store.
    Write,
    /// Queries for a keeper's status.
    Status,
    /// Any other request of a node to a keeper.
    OtherStoreRequest,
    /// Probes between members.
    GossipProbe,
    /// Exchanges of partial views between members.
    GossipView,
    /// Heartbeats of servers that members forward to each other.
    GossipHeartbeat,
    /// Queries for the position up to which a node has acknowledged commits to clients.
    AcknowledgedEnd,
    /// Comparisons of session replicas.
    SessionReplicas,
    /// Any other query between nodes.
    OtherQuery,
    /// A frame between keepers, or one that cannot be read.
    Unknown,
}

impl fmt::Display for FrameKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            FrameKind::Feed => "feed",
            FrameKind::Write => "write",
            FrameKind::Status => "status",
            FrameKind::OtherStoreRequest => "other store requests",
            FrameKind::GossipProbe => "gossip probes",
            FrameKind::GossipView => "gossip views",
            FrameKind::GossipHeartbeat => "gossip heartbeats",
            FrameKind::AcknowledgedEnd => "acknowledged end",
            FrameKind::SessionReplicas => "session replicas",
            FrameKind::OtherQuery => "other queries",
            FrameKind::Unknown => "unknown",
        })
    }
}

/// Counts by kind.
pub type FrameCounts = BTreeMap<FrameKind, FrameCount>;
pub(super) type SharedFrameCounts = Arc<Mutex<FrameCounts>>;

/// A function that determines the kind of a frame from its bytes.
pub(super) type Classify = fn(&[u8]) -> FrameKind;

/// Counts the frames that arrive at an address.
pub(super) fn count_frames(
    simulation: &Arc<Simulation>,
    addr: &str,
    classify: Classify,
    counts: &SharedFrameCounts,
) {
    let counts = counts.clone();
    simulation.wrap_frame_handler(addr, move |inner: FrameHandler| {
        Arc::new(move |frame: Vec<u8>| {
            let kind = classify(&frame);
            let request_bytes = framed(frame.len());
            let response = inner(frame);
            let counts = counts.clone();
            Box::pin(async move {
                let response = response.await;
                let response_bytes = response.as_ref().map_or(0, |frame| framed(frame.len()));
                let mut counts = counts.lock().unwrap();
                let count = counts.entry(kind).or_default();
                count.requests += 1;
                count.request_bytes += request_bytes;
                count.response_bytes += response_bytes;
                response
            })
        })
    });
}

fn framed(bytes: usize) -> u64 {
    (bytes + LENGTH_BYTES) as u64
}

/// Decodes the request in a frame.
fn decode<Request: Call>(frame: &[u8]) -> Option<Request> {
    let (_header, message) = IncomingFrame::parse(frame).ok()?.header::<RequestHeader>().ok()?;
    borsh::from_slice(message).ok()
}

/// Returns the kind of a frame that is sent to a keeper.
pub(super) fn keeper_request_kind(frame: &[u8]) -> FrameKind {
    match decode(frame) {
        Some(KeeperRequest::Node { request: Request::Feed { .. } }) => FrameKind::Feed,
        Some(KeeperRequest::Node { request: Request::Write { .. } }) => FrameKind::Write,
        Some(KeeperRequest::Node { request: Request::Status }) => FrameKind::Status,
        Some(KeeperRequest::Node { .. }) => FrameKind::OtherStoreRequest,
        _ => FrameKind::Unknown,
    }
}

/// Returns the kind of a frame that is sent to a node.
pub(super) fn node_request_kind(frame: &[u8]) -> FrameKind {
    match decode(frame) {
        Some(NodeRequest::Gossip { message }) => gossip_kind(&message.message),
        Some(NodeRequest::Query { query }) => query_kind(&query),
        _ => FrameKind::Unknown,
    }
}

fn gossip_kind(message: &GossipMessage) -> FrameKind {
    match message {
        GossipMessage::Ping { .. } | GossipMessage::Pong { .. } | GossipMessage::PingFor { .. } => {
            FrameKind::GossipProbe
        }
        GossipMessage::Shuffle { .. }
        | GossipMessage::Shuffled { .. }
        | GossipMessage::CompareMembers { .. }
        | GossipMessage::ComparedMembers { .. } => FrameKind::GossipView,
        GossipMessage::Heartbeats { .. } => FrameKind::GossipHeartbeat,
    }
}

fn query_kind(query: &NodeQuery) -> FrameKind {
    match query {
        NodeQuery::AcknowledgedEnd { .. } | NodeQuery::AcknowledgedRange { .. } => FrameKind::AcknowledgedEnd,
        NodeQuery::SessionDigests { .. } | NodeQuery::SessionRange { .. } => FrameKind::SessionReplicas,
        _ => FrameKind::OtherQuery,
    }
}
