//! `servers`: one node's view of the database servers.
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

/// The servers known to the node that served the call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServersReply {
    /// Name of the node that served the call.
    pub node: Name,
    /// The node's view of each server.
    pub servers: Vec<ServerReport>,
}

/// One node's view of one server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Name of the server.
    pub server: Name,
    /// Address of the server, `ip:port`.
    pub addr: Name,
    /// Labels from the server's last heartbeat.
    pub labels: Labels,
    /// Role from the server's last heartbeat.
    pub role: Role,
    /// Whether the server is the primary of its group according to the cluster state.
    #[serde(alias = "leads")]
    pub is_primary: bool,
    /// State from the server's last heartbeat.
    pub state: ServerState,
    /// Highest fencing token that the server has reported.
    pub fence: u64,
    /// End of the server's log, as reported by the server.
    pub position: Position,
    /// Health state: `in-rotation`, `set-aside` or `on-trial`.
    #[serde(alias = "verdict")]
    pub health: String,
    /// Number of times the server was ejected since the node started.
    #[serde(alias = "asides")]
    pub ejections: u64,
    /// Number of replies that the server has not sent yet.
    #[serde(alias = "owing")]
    pub pending_replies: usize,
    /// Age of the server's last status reply in milliseconds.
    pub status_age_ms: u64,
    /// How long status requests to the server have been failing, in milliseconds; `None` while they succeed.
    pub failing_ms: Option<u64>,
    /// Number of open pooled connections.
    #[serde(alias = "links")]
    pub connections: usize,
    /// Number of open pooled connections that are not checked out.
    #[serde(rename = "idle")]
    pub idle_connections: usize,
    /// Number of requests waiting for a connection.
    #[serde(alias = "held")]
    pub queued: usize,
}
