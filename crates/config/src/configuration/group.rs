//! Server groups: one primary and its replicas.
use schematic::Config;
use serde::{Deserialize, Serialize};

/// Limits and replication of one server group.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// The group's name, as its servers give it in their label `group`.
    pub name: String,
    /// Connections that each server of the group admits from all nodes together.
    #[setting(default = 64, rename = "connections")]
    #[serde(rename = "links")]
    pub connections: u64,
    /// Number of replicas that must have received a commit before it is acknowledged; `None` stands for a majority.
    pub sync_replicas: Option<u64>,
}
