//! Limits on the queued requests and the sessions of a node.
use schematic::Config;
use serde::{Deserialize, Serialize};

/// Limits on the queued requests and the sessions of a node.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueLimits {
    /// Largest number of requests that wait for a connection to one server.
    #[setting(default = 512, rename = "max_waiting")]
    #[serde(rename = "most")]
    pub max_waiting: u64,
    /// Largest number of sessions of one node.
    #[setting(default = 4096, rename = "max_sessions")]
    #[serde(rename = "sessions")]
    pub max_sessions: u64,
    /// Longest time in milliseconds that a transaction may be idle between its statements.
    #[setting(default = 10000)]
    pub txn_idle_ms: u64,
}
