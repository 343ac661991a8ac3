//! The limits of a server's connections, as the configuration in force sets them.
use quincehatch_config::configuration::{Configuration, HealthSettings};
use quincehatch_wire::http::KeepaliveSettings;
use std::time::Duration;

/// The limits that hold for one request.
#[derive(Clone, Copy)]
pub struct PoolLimits {
    /// Connections to the server at most.
    pub connections: usize,
    /// Connections that reads may use at most.
    pub read_share: usize,
    /// Requests that may wait for a connection at most.
    pub queue: usize,
    /// How the kernel watches the connections.
    pub keepalive: KeepaliveSettings,
}

impl PoolLimits {
    /// Limits of a group's primary.
    pub fn of_primary(config: &Configuration) -> PoolLimits {
        let connections = config.connections.per_primary as usize;
        let percent = config.connections.primary_lookup_percent as usize;
        let read_share = (connections * percent / 100).max(1);
        PoolLimits::new(config, connections, read_share)
    }

    /// Limits of a replica: reads may use all its connections.
    pub fn of_replica(config: &Configuration) -> PoolLimits {
        let connections = config.connections.per_replica as usize;
        PoolLimits::new(config, connections, connections)
    }

    fn new(config: &Configuration, connections: usize, read_share: usize) -> PoolLimits {
        let queue = config.queue.max_waiting as usize;
        PoolLimits { connections, read_share, queue, keepalive: keepalive_settings(&config.health) }
    }
}

/// How the kernel watches connections to servers under these settings.
pub fn keepalive_settings(health: &HealthSettings) -> KeepaliveSettings {
    KeepaliveSettings {
        idle: Duration::from_millis(health.keepalive_idle_ms),
        user_timeout: Duration::from_millis(health.user_timeout_ms),
    }
}
