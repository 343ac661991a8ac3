//! Heartbeats of database servers, and the records of servers in the replicated store.
use crate::{FencingToken, Labels, Name, Position, messages};

messages! {
    /// Role of a server in its group.
    #[derive(Copy, Eq, Hash, Default)]
    pub enum Role {
        /// The server accepts writes.
        Primary,
        /// The server replicates from the primary and answers reads.
        #[default]
        Replica
    }

    /// State of a server's process.
    #[allow(clippy::min_ident_chars, reason = "the server contract names the state `Up`")]
    #[derive(Copy, Eq, Hash, Default)]
    pub enum ServerState {
        /// In regular service.
        #[default]
        Up,
        /// Shutting down gracefully: the server finishes its work and accepts no new work. In JSON it is `Leaving`, as
        /// the server contract (docs/server.md) names it.
        #[serde(rename = "Leaving")]
        Draining,
        /// The server was promoted or restarted, and not all of its log is visible yet.
        Starting
    }

    /// The stamp that a server puts on every reply: which server ran the statement, and at which position.
    #[derive(Eq, Default)]
    pub struct Stamp {
        /// Name of the server.
        pub server: Name,
        /// Fencing token that the server holds.
        pub fence: FencingToken,
        /// Last record visible on the server.
        pub position: Position,
        /// Role of the server.
        pub role: Role
    }

    /// A server's report of its own state. The one with the highest [`ServerHeartbeat::version`] supersedes the others.
    #[derive(Eq, Default)]
    pub struct ServerHeartbeat {
        /// Name of the server.
        pub server: Name,
        /// Increases with every start of the server.
        pub boot: u64,
        /// Increases with every heartbeat of one start.
        pub seq: u64,
        /// Address at which the server accepts connections.
        pub addr: Name,
        /// Labels of the server; `group` and `district` (its zone) are always set.
        pub labels: Labels,
        /// Role of the server.
        pub role: Role,
        /// State of the server's process.
        pub state: ServerState,
        /// Fencing token that the server holds.
        pub fence: FencingToken,
        /// Last record visible on the server.
        pub position: Position,
        /// Last record in the server's log.
        pub log_end: Position
    }
}

messages! {
    /// A server as the replicated store records it. The record is written when one of its fields changes, not at each
    /// heartbeat.
    #[derive(Eq, Default)]
    pub struct ServerRecord {
        /// Name of the server.
        pub server: Name,
        /// Group to which the server belongs.
        pub group: Name,
        /// Address at which the server accepts connections.
        pub addr: Name,
        /// Zone in which the server runs.
        pub zone: Name,
        /// Number of connections that the server admits.
        pub slots: u32,
        /// Whether the server shuts down gracefully and accepts no new work.
        pub draining: bool,
        /// Role of the server in the group.
        pub role: Role,
        /// Number of the heartbeat that reported these values. A record with a lower number changes nothing.
        pub seq: u64
    }
}

/// The order of the heartbeats of one server: by start, then by number within the start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeartbeatVersion {
    /// Start of the server, as in [`ServerHeartbeat::boot`].
    pub boot: u64,
    /// Number of the heartbeat, as in [`ServerHeartbeat::seq`].
    pub seq: u64,
}

impl ServerHeartbeat {
    /// Returns the version of this heartbeat; of two heartbeats the one with the higher version is in force.
    pub fn version(&self) -> HeartbeatVersion {
        HeartbeatVersion { boot: self.boot, seq: self.seq }
    }

    /// Returns the group to which the server belongs; empty if the label is missing.
    pub fn group(&self) -> &str {
        self.label("group").unwrap_or("")
    }

    /// Returns the zone in which the server runs; empty if the label is missing. Servers send it as the label
    /// `district`, the deprecated name, or as `zone`; where both are given, `zone` may be a label of the operator's
    /// own.
    pub fn zone(&self) -> &str {
        self.label("district").or_else(|| self.label("zone")).unwrap_or("")
    }

    fn label(&self, key: &str) -> Option<&str> {
        self.labels.get(key).map(|value| value.as_str())
    }
}
