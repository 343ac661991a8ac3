//! The limits on connections to a server, as the configuration in force sets them.
use quincehatch_config::configuration::{Configuration, HealthSettings};
use quincehatch_wire::http::KeepaliveSettings;
use std::time::Duration;

/// The limits that apply to one request.
#[derive(Clone, Copy)]
pub struct PoolLimits {
    /// The maximum number of connections to the server.
    pub connections: usize,
    /// The maximum number of connections that reads may use.
    pub read_share: usize,
    /// The maximum number of requests that may wait for a connection.
    pub queue: usize,
    /// The TCP keep-alive settings of the connections.
    pub keepalive: KeepaliveSettings,
}

impl PoolLimits {
    /// Returns the limits for a group's primary.
    pub fn of_primary(config: &Configuration) -> PoolLimits {
        let connections = config.connections.per_primary as usize;
        let percent = config.connections.primary_lookup_percent as usize;
        let read_share = (connections * percent / 100).max(1);
        PoolLimits::new(config, connections, read_share)
    }

    /// Returns the limits for a replica, where reads may use all connections.
    pub fn of_replica(config: &Configuration) -> PoolLimits {
        let connections = config.connections.per_replica as usize;
        PoolLimits::new(config, connections, connections)
    }

    fn new(config: &Configuration, connections: usize, read_share: usize) -> PoolLimits {
        let queue = config.queue.max_waiting as usize;
        PoolLimits { connections, read_share, queue, keepalive: keepalive_settings(&config.health) }
    }
}

/// Returns the TCP keep-alive settings that these health settings configure.
pub fn keepalive_settings(health: &HealthSettings) -> KeepaliveSettings {
    KeepaliveSettings {
        idle: Duration::from_millis(health.keepalive_idle_ms),
        user_timeout: Duration::from_millis(health.user_timeout_ms),
    }
}
