//! Costs of a node's health checks of its servers.
use crate::cpu::timed;
use crate::samples::{lone_node_settings, server_record};
use quincehatch_core::{Labels, ServerHeartbeat, ServerRecord};
use quincehatch_proxy::Proxy;
use quincehatch_proxy::probe;
use quincehatch_proxy::session::replicas::LocalOnlyReplicas;
use quincehatch_runtime::seam::Spawner;

/// Number of rounds of health checks per second. In the same time, the loop over the singleton roles reads each
/// server's state four times.
const CHECKS_PER_SECOND: usize = 10;

/// Costs of the health checks of one node.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckCost {
    /// Number of servers that the registry accepted.
    pub servers: usize,
    /// Processor time of one second of checks, in milliseconds.
    pub cpu_ms: f64,
}

/// Registers `servers` at one node and checks those that its registry accepted.
pub fn health_checks(servers: usize) -> HealthCheckCost {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let _entered = runtime.enter();
    let proxy = Proxy::new(lone_node_settings(), Box::new(LocalOnlyReplicas::default()), Spawner::current());
    for index in 0..servers {
        proxy.registry.apply_heartbeat(first_heartbeat(server_record(index, 1)));
    }
    let checks = timed(|| {
        for _ in 0..CHECKS_PER_SECOND {
            probe::tick_health(&proxy.registry);
        }
    });
    HealthCheckCost { servers: proxy.registry.servers().len(), cpu_ms: checks.cpu_ms }
}

/// Returns the first heartbeat of a server with the data of its record.
pub(crate) fn first_heartbeat(record: ServerRecord) -> ServerHeartbeat {
    let labels: Labels = [("group".into(), record.group), ("zone".into(), record.zone)].into();
    ServerHeartbeat {
        server: record.server,
        addr: record.addr,
        seq: 1,
        labels,
        role: record.role,
        ..Default::default()
    }
}
