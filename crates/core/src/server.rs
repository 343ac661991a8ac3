//! What database servers report of themselves, and what the replicated store records of them.
use crate::{FencingToken, Labels, Name, Position, messages};

messages! {
    /// Role of a server in its group.
    #[derive(Copy, Eq, Hash, Default)]
    pub enum Role {
        /// It takes writes.
        Primary,
        /// It follows the primary and answers reads.
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
        /// Shutting down gracefully: it finishes its work and takes no new work. In JSON it is `Leaving`, as the server
        /// contract (docs/server.md) names it.
        #[serde(rename = "Leaving")]
        Draining,
        /// It took over or came back, and does not show all of its log yet.
        Starting
    }

    /// What a server puts on every reply: where the statement ran.
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

    /// A server's report of itself. The newest by [`ServerHeartbeat::version`] holds.
    #[derive(Eq, Default)]
    pub struct ServerHeartbeat {
        /// Name of the server.
        pub server: Name,
        /// Rises with every start of the server.
        pub boot: u64,
        /// Rises with every heartbeat of one start.
        pub seq: u64,
        /// Address at which the server takes connections.
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
    /// A server as the replicated store knows it. It is written when one of its fields changes, not at each heartbeat.
    #[derive(Eq, Default)]
    pub struct ServerRecord {
        /// Name of the server.
        pub server: Name,
        /// Group to which it belongs.
        pub group: Name,
        /// Address at which it takes connections.
        pub addr: Name,
        /// Zone in which it runs.
        pub zone: Name,
        /// Connections that it admits.
        pub slots: u32,
        /// It shuts down gracefully and takes no new work.
        pub draining: bool,
        /// Its role in the group.
        pub role: Role,
        /// Number of the heartbeat that reported it. A record with a lower number changes nothing.
        pub seq: u64
    }
}

/// Orders the heartbeats of one server: by start, then by their order within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HeartbeatVersion {
    /// Start of the server, as in [`ServerHeartbeat::boot`].
    pub boot: u64,
    /// Number of the heartbeat, as in [`ServerHeartbeat::seq`].
    pub seq: u64,
}

impl ServerHeartbeat {
    /// The version of this heartbeat; of two heartbeats the one with the higher version holds.
    pub fn version(&self) -> HeartbeatVersion {
        HeartbeatVersion { boot: self.boot, seq: self.seq }
    }

    /// The group to which the server belongs; empty if the label is missing.
    pub fn group(&self) -> &str {
        self.label("group").unwrap_or("")
    }

    /// The zone in which the server runs; empty if the label is missing. Servers send it as the label `district`, the
    /// deprecated name, or as `zone`; where both are given, `zone` may be a label of the operator's own.
    pub fn zone(&self) -> &str {
        self.label("district").or_else(|| self.label("zone")).unwrap_or("")
    }

    fn label(&self, key: &str) -> Option<&str> {
        self.labels.get(key).map(|value| value.as_str())
    }
}
