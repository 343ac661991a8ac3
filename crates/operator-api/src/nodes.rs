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
    /// One part for each node of the cluster.
    pub nodes: Vec<NodeAnswer<NodeReport>>,
}

/// What a node reports on itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Name of the node.
    pub name: Name,
    /// Zone in which it runs.
    #[serde(alias = "district")]
    pub zone: Name,
    /// Address for clients and the platform, `ip:port`.
    #[serde(alias = "door")]
    pub client_listener: String,
    /// Address for server heartbeats and operators, `ip:port`.
    #[serde(alias = "desk")]
    pub operator_listener: String,
    /// Whether clients may be sent to it.
    pub ready: bool,
    /// Why it is not ready, or in what its service is reduced; empty if all is well.
    pub why: String,
    /// What is left of its lease, in milliseconds.
    pub lease_ms: u64,
    /// Version of the configuration it has applied.
    pub version: Version,
    /// Number of the last change it has applied.
    pub change: u64,
    /// Client sessions open here.
    pub sessions: usize,
    /// Session replicas kept for other nodes.
    #[serde(alias = "copies")]
    pub session_replicas: usize,
    /// Requests in flight.
    #[serde(alias = "in_hand")]
    pub in_flight: u64,
    /// Requests committed since the start.
    #[serde(alias = "kept")]
    pub committed: u64,
    /// Requests that were not applied, since the start.
    #[serde(alias = "nothing")]
    pub not_applied: u64,
    /// Requests whose outcome is unknown, since the start.
    pub unknown: u64,
    /// Nodes that it takes for alive.
    pub live: usize,
    /// Nodes in its partial view of the gossip membership.
    pub view: Vec<Name>,
    /// Gossip messages sent since the start.
    #[serde(alias = "letters")]
    pub gossip_messages_sent: u64,
}
