//! Limits on the connections from one node to one server.
use schematic::Config;
use serde::{Deserialize, Serialize};

/// The largest numbers of connections from one node to one server.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConnectionLimits {
    /// Connections to a replica.
    #[setting(default = 16)]
    pub per_replica: u64,
    /// Connections to a primary.
    #[setting(default = 64)]
    pub per_primary: u64,
    /// Share of the primary's connections, in percent, that lookups may use while every replica is ejected.
    #[setting(default = 25, rename = "primary_lookup_percent")]
    #[serde(rename = "lookup_share")]
    pub primary_lookup_percent: u64,
}
