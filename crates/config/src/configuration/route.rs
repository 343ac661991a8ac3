//! Routes: which placement serves which requests, and within which bounds.
use super::Selector;
use schematic::Config;
use serde::{Deserialize, Serialize};

/// Class of the routes for orders, transactions and reads from the primary.
pub const ORDER_CLASS: &str = "order";
/// Class of the routes for lookups.
pub const LOOKUP_CLASS: &str = "lookup";

/// The placement that serves requests with certain labels, and the bounds on these requests.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The unique name of the route, for replies and logs.
    pub name: String,
    /// [`ORDER_CLASS`] or [`LOOKUP_CLASS`].
    pub class: String,
    /// Selector over the labels of requests.
    pub when: Selector,
    /// The name of the placement whose servers serve the requests.
    pub placement: String,
    /// Timeout of a request in milliseconds; a reply that takes longer counts as late.
    #[setting(default = 1000)]
    pub timeout_ms: u64,
    /// After this time in milliseconds a pending reply alone ejects its server; `None` stands for the value in the
    /// health settings.
    pub query_timeout_ms: Option<u64>,
    /// Whether the statements are known to run long. Their replies are overdue only at the query timeout.
    #[setting(rename = "long_running")]
    #[serde(rename = "long")]
    pub long_running: bool,
    /// How far behind the primary a replica may be for a lookup, in milliseconds.
    #[setting(default = 1500, rename = "max_staleness_ms")]
    #[serde(rename = "fresh_ms")]
    pub max_staleness_ms: u64,
    /// Latency target in milliseconds: a request that cannot be started well within it is rejected immediately.
    #[setting(rename = "latency_target_ms")]
    #[serde(rename = "aim_ms")]
    pub latency_target_ms: Option<u64>,
    /// The priority of queued requests: those with the lowest number are sent first.
    #[setting(default = 1)]
    pub priority: u64,
    /// Whether clients need no key on this route even if the configuration requires keys.
    #[serde(default, skip_serializing_if = "super::is_false")]
    pub public: bool,
}
