//! Limits on what a node holds for its clients.
use schematic::Config;
use serde::{Deserialize, Serialize};

/// How many requests and sessions a node holds.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueLimits {
    /// Requests that wait for a connection to one server.
    #[setting(default = 512, rename = "max_waiting")]
    #[serde(rename = "most")]
    pub max_waiting: u64,
    /// Sessions of one node.
    #[setting(default = 4096, rename = "max_sessions")]
    #[serde(rename = "sessions")]
    pub max_sessions: u64,
    /// Longest time in milliseconds that a transaction may idle between its steps.
    #[setting(default = 10000)]
    pub txn_idle_ms: u64,
}
