//! `nodes`: every node's report on itself.
use crate::fan_out::NodeAnswer;
use crate::{CallName, OperatorCall};
use quincehatch_core::{Name, Version};
use serde::{Deserialize, Serialize};

/// Asks for every node's report on itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodesRequest {}

impl OperatorCall for NodesRequest {
    const NAME: CallName = CallName::Nodes;
    type Reply = NodesReply;
}

/// The reports, ordered by node name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodesReply {
    /// One answer per node of the cluster.
    pub nodes: Vec<NodeAnswer<NodeReport>>,
}

/// What a node reports on itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Name of the node.
    pub name: Name,
    /// Zone of the node.
    #[serde(alias = "district")]
    pub zone: Name,
    /// Address of the listener for clients and the platform, `ip:port`.
    #[serde(alias = "door")]
    pub client_listener: String,
    /// Address of the listener for server heartbeats and operators, `ip:port`.
    #[serde(alias = "desk")]
    pub operator_listener: String,
    /// Whether clients may be routed to the node.
    pub ready: bool,
    /// Why the node is not ready or which part of its service is degraded; empty if it is fully healthy.
    pub why: String,
    /// Remaining time of the node's lease in milliseconds.
    pub lease_ms: u64,
    /// Version of the configuration that the node has applied.
    pub version: Version,
    /// Number of the last change that the node has applied.
    pub change: u64,
    /// Number of open client sessions on the node.
    pub sessions: usize,
    /// Number of session replicas stored for other nodes.
    #[serde(alias = "copies")]
    pub session_replicas: usize,
    /// Number of requests in flight.
    #[serde(alias = "in_hand")]
    pub in_flight: u64,
    /// Number of requests committed since the node started.
    #[serde(alias = "kept")]
    pub committed: u64,
    /// Number of requests that were not applied, since the node started.
    #[serde(alias = "nothing")]
    pub not_applied: u64,
    /// Number of requests with an unknown outcome since the node started.
    pub unknown: u64,
    /// Number of nodes that this node considers alive.
    pub live: usize,
    /// Names of the nodes in its partial view of the gossip membership.
    pub view: Vec<Name>,
    /// Number of gossip messages sent since the node started.
    #[serde(alias = "letters")]
    pub gossip_messages_sent: u64,
}
