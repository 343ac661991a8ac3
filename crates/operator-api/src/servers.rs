//! `servers`: database servers as the asked node sees them.
use crate::{CallName, OperatorCall};
use quincehatch_core::{Labels, Name, Position, Role, ServerState};
use serde::{Deserialize, Serialize};

/// Asks one node for its view of the database servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServersRequest {}

impl OperatorCall for ServersRequest {
    const NAME: CallName = CallName::Servers;
    type Reply = ServersReply;
}

/// The servers that the asked node knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServersReply {
    /// Name of the asked node.
    pub node: Name,
    /// Its view of each server.
    pub servers: Vec<ServerReport>,
}

/// One node's view of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Name of the server.
    pub server: Name,
    /// Its address, `ip:port`.
    pub addr: Name,
    /// Labels of its last heartbeat.
    pub labels: Labels,
    /// Role of its last heartbeat.
    pub role: Role,
    /// Whether the cluster state names it the primary of its group.
    #[serde(alias = "leads")]
    pub is_primary: bool,
    /// State of its last heartbeat.
    pub state: ServerState,
    /// Highest fencing token that it reported.
    pub fence: u64,
    /// End of its log, as it reported.
    pub position: Position,
    /// Health state: `in-rotation`, `set-aside` or `on-trial`.
    #[serde(alias = "verdict")]
    pub health: String,
    /// Times it was ejected since the start of the node.
    #[serde(alias = "asides")]
    pub ejections: u64,
    /// Replies that it has not sent yet.
    #[serde(alias = "owing")]
    pub pending_replies: usize,
    /// Age of its last status reply, in milliseconds.
    pub status_age_ms: u64,
    /// For how long status requests have failed, in milliseconds; `None` while they succeed.
    pub failing_ms: Option<u64>,
    /// Pooled connections open.
    #[serde(alias = "links")]
    pub connections: usize,
    /// Pooled connections open and not checked out.
    #[serde(rename = "idle")]
    pub idle_connections: usize,
    /// Requests waiting for a connection.
    #[serde(alias = "held")]
    pub queued: usize,
}
