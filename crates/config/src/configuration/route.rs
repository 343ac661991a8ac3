//! Routes: what is done with which requests.
use super::Selector;
use schematic::Config;
use serde::{Deserialize, Serialize};

/// Class of the routes for orders, transactions and reads from the primary.
pub const ORDER_CLASS: &str = "order";
/// Class of the routes for lookups.
pub const LOOKUP_CLASS: &str = "lookup";

/// Where requests with certain labels go, and within which bounds.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// A name of its own, for replies and logs.
    pub name: String,
    /// [`ORDER_CLASS`] or [`LOOKUP_CLASS`].
    pub class: String,
    /// Selector over the labels of requests.
    pub when: Selector,
    /// The name of the placement whose servers take the requests.
    pub placement: String,
    /// Longest time of a request in milliseconds; a reply that takes longer counts as late.
    #[setting(default = 1000)]
    pub timeout_ms: u64,
    /// After this time in milliseconds a pending reply alone ejects its server; none: as for health in general.
    pub query_timeout_ms: Option<u64>,
    /// The statements are known to run long: their replies are overdue only at the query timeout.
    #[setting(rename = "long_running")]
    #[serde(rename = "long")]
    pub long_running: bool,
    /// How far behind the primary a replica may be for a lookup, in milliseconds.
    #[setting(default = 1500, rename = "max_staleness_ms")]
    #[serde(rename = "fresh_ms")]
    pub max_staleness_ms: u64,
    /// Latency target in milliseconds: a request that cannot be started well within it is rejected at once.
    #[setting(rename = "latency_target_ms")]
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: Option<u64>,
    /// Of the requests that wait, those with the lowest number go first.
    #[setting(default = 1)]
    pub priority: u64,
    /// Clients need no key here though the configuration requires keys.
    #[serde(default, skip_serializing_if = "super::is_false")]
    pub public: bool,
}
