//! Health settings: when a server is ejected, and how it returns to service.
use schematic::{Config, ConfigLoader};
use serde::{Deserialize, Serialize};
use std::sync::OnceLock;

/// The weights of evidence against a server, the threshold of ejection and the waiting times before a probation.
///
/// Each kind of evidence has a weight; a server is ejected once the weights of the last `evidence_ms` reach `eject_at`.
#[derive(Config, Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HealthSettings {
    /// After this time in milliseconds a pending reply alone ejects its server, unless the route has its own
    /// timeout.
    #[setting(default = 30000)]
    pub query_timeout_ms: u64,
    /// Idle time in milliseconds before the first keep-alive probe on a connection to a server.
    #[setting(default = 30000)]
    pub keepalive_idle_ms: u64,
    /// `TCP_USER_TIMEOUT` of connections to servers, in milliseconds.
    #[setting(default = 4000)]
    pub user_timeout_ms: u64,
    /// Time in milliseconds from the ejection to the first probation.
    #[setting(default = 30000, rename = "probation_after_ms")]
    #[serde(rename = "return_after_ms")]
    pub probation_after_ms: u64,
    /// Longest time in milliseconds before the next probation after failed ones.
    #[setting(default = 240000, rename = "probation_after_max_ms")]
    #[serde(rename = "return_most_ms")]
    pub probation_after_max_ms: u64,
    /// Number of successful client lookups that end a probation.
    #[setting(default = 3, rename = "probation_successes")]
    #[serde(rename = "trial_good")]
    pub probation_successes: u64,
    /// Weight of a connection reset.
    #[setting(default = 100)]
    pub reset_weight: u64,
    /// Weight of a connection time-out that the kernel reports.
    #[setting(default = 100)]
    pub silent_weight: u64,
    /// Weight of an overdue reply or a stall.
    #[setting(default = 100)]
    pub overdue_weight: u64,
    /// Weight of a request past its route's timeout while other connections to the server answer.
    #[setting(default = 20)]
    pub late_weight: u64,
    /// Sum of weights at which a replica is ejected.
    #[setting(default = 100, rename = "eject_at")]
    #[serde(rename = "aside_at")]
    pub eject_at: u64,
    /// How long a piece of evidence counts, in milliseconds.
    #[setting(default = 10000)]
    pub evidence_ms: u64,
}

/// Returns the default health settings, for a node that has no configuration yet.
pub fn default_health_settings() -> &'static HealthSettings {
    static DEFAULTS: OnceLock<HealthSettings> = OnceLock::new();
    DEFAULTS.get_or_init(|| match ConfigLoader::<HealthSettings>::new().load() {
        Ok(loaded) => loaded.config,
        Err(error) => panic!("the health settings have no defaults: {error}"),
    })
}
