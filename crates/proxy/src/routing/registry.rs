//! The registry: the servers, configuration and primaries that a node knows of. Every task that receives an update
//! writes it here, and all others read it. Each part has a lock of its own.
pub use crate::routing::cluster_state::ClusterState;
pub use crate::routing::server_entry::{ServerCheckout, ServerEntry, StatusRecord};

use crate::latest::Latest;
use crate::routing::acknowledged::AcknowledgedPositions;
use crate::routing::in_flight::InFlightCounts;
use crate::routing::node_lease::NodeLease;
use crate::staleness::PrimaryPositions;
use quincehatch_config::configuration::{Configuration, HealthSettings, Placement, default_health_settings};
use quincehatch_core::name_table::NameTable;
use quincehatch_core::{Millis, Name, PrimaryAssignment, ServerHeartbeat, ServerState};
use quincehatch_runtime::now;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use tokio::sync::Notify;

/// The maximum number of servers in the registry.
const MAX_SERVERS: usize = 1_024;

/// The servers, configuration, primaries and lease of one node.
#[derive(Default)]
pub struct Registry {
    names: RwLock<NameTable>,
    servers: RwLock<Vec<Arc<ServerEntry>>>,
    cluster_state: Latest<ClusterState>,
    pub(super) primary_positions: Mutex<BTreeMap<Name, PrimaryPositions>>,
    lease: NodeLease,
    pub(super) acknowledged: AcknowledgedPositions,
    /// The transactions and writes in flight, and the requests that wait for a primary.
    pub in_flight: InFlightCounts,
    /// Notified when a new cluster state has been applied.
    pub changed: Notify,
    /// Notified when a commit waits for evidence before it is acknowledged.
    pub evidence_awaited: Notify,
    /// Notified when a server has reported what it received.
    pub evidence_recorded: Notify,
    /// Whether the node is shutting down and accepts no new work.
    pub stopping: AtomicBool,
    /// Whether an operator drained the node, so that the platform sends no more clients here.
    pub draining: AtomicBool,
}

/// The configuration and primaries.
impl Registry {
    /// Returns the current configuration and primaries.
    pub fn cluster_state(&self) -> Arc<ClusterState> {
        self.cluster_state.get()
    }

    /// Applies a cluster state unless it is older than the current one. Returns whether it was applied.
    pub fn set_cluster_state(&self, state: ClusterState) -> bool {
        let applied = self.cluster_state.set(state, |old, new| self.record_promotions(old, new));
        self.changed.notify_waiters();
        applied
    }

    fn record_promotions(&self, old: &ClusterState, new: &ClusterState) {
        for (group, assignment) in &new.primaries {
            if old.primaries.get(group) == Some(assignment) {
                continue;
            }
            let server = assignment.server.as_ref().and_then(|name| self.server(name));
            if let Some(server) = server {
                server.health.lock().unwrap().record_promotion(now());
            }
        }
    }

    /// Whether the server is assigned as the group's primary.
    pub fn is_primary(&self, group: &str, server: &str) -> bool {
        self.cluster_state.get().primary_of(group).is_some_and(|primary| primary == server)
    }

    /// Returns the group's assigned primary and its fence.
    pub fn primary(&self, group: &str) -> Option<PrimaryAssignment> {
        self.cluster_state.get().primaries.get(group).cloned()
    }

    /// Returns the health settings in force.
    pub fn health_settings(&self) -> HealthSettings {
        match &self.cluster_state.get().configuration {
            Some(configuration) => configuration.health.clone(),
            None => default_health_settings().clone(),
        }
    }
}

/// The node's lease.
impl Registry {
    /// Extends the lease to `until` on the local clock. The next renewal is not expected before it ends.
    pub fn renew_lease(&self, until: Millis) {
        self.lease.renew(until, until);
    }

    /// Extends the lease to `until`; the next renewal is expected by `renewal_due`.
    pub fn renew_lease_expecting(&self, until: Millis, renewal_due: Millis) {
        self.lease.renew(until, renewal_due);
    }

    /// Whether an expected renewal of the lease has not arrived: this node may be cut off from the keepers.
    pub fn is_lease_renewal_overdue(&self) -> bool {
        self.lease.is_renewal_overdue()
    }

    /// Ends the lease at once, whatever time remains.
    pub fn release_lease(&self) {
        self.lease.set(0);
    }

    /// Sets the end of the lease, also to an earlier time, so that a test can let the lease expire.
    #[doc(hidden)]
    pub fn set_lease_for_test(&self, until: Millis) {
        self.lease.set(until);
    }

    /// Returns the remaining time of the lease, in milliseconds.
    pub fn lease_remaining(&self) -> Millis {
        self.lease.remaining()
    }

    /// Whether the lease is valid.
    pub fn has_lease(&self) -> bool {
        self.lease.is_held()
    }

    /// Whether the node is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}

/// The servers.
impl Registry {
    /// Applies a heartbeat from any source unless a newer one was applied. Returns whether it was applied.
    pub fn apply_heartbeat(&self, heartbeat: ServerHeartbeat) -> bool {
        let is_registered = self.server(&heartbeat.server).is_some();
        if !is_registered && self.servers.read().unwrap().len() >= MAX_SERVERS {
            return false;
        }
        let server = self.server_or_insert(&heartbeat);
        let mut current = server.heartbeat.write().unwrap();
        if heartbeat.version() <= current.version() && current.seq != 0 {
            return false;
        }
        let has_new_addr = current.addr != heartbeat.addr;
        let has_restarted = current.boot != heartbeat.boot;
        let is_draining = heartbeat.state == ServerState::Draining;
        *current = heartbeat;
        drop(current);
        if has_new_addr || has_restarted {
            server.pool.reset();
            server.direct_pool.close();
        }
        server.set_draining(is_draining);
        true
    }

    fn server_or_insert(&self, heartbeat: &ServerHeartbeat) -> Arc<ServerEntry> {
        if let Some(server) = self.server(&heartbeat.server) {
            return server;
        }
        let mut names = self.names.write().unwrap();
        let index = names.intern(&heartbeat.server);
        let mut servers = self.servers.write().unwrap();
        // Another task may have inserted the server since the check above.
        if let Some(server) = servers.get(index.0 as usize) {
            return server.clone();
        }
        let server = Arc::new(ServerEntry::new(index, heartbeat));
        servers.push(server.clone());
        server
    }

    /// Returns the server of this name.
    pub fn server(&self, name: &str) -> Option<Arc<ServerEntry>> {
        let index = self.names.read().unwrap().index_of(name)?;
        self.servers.read().unwrap().get(index.0 as usize).cloned()
    }

    /// Returns all servers.
    pub fn servers(&self) -> Vec<Arc<ServerEntry>> {
        self.servers.read().unwrap().clone()
    }

    /// Returns the servers whose labels match the placement.
    pub fn servers_in_placement(
        &self,
        configuration: &Configuration,
        placement: &Placement,
    ) -> Vec<Arc<ServerEntry>> {
        let mut servers = self.servers();
        servers.retain(|server| {
            configuration.placement_includes(placement, &server.heartbeat.read().unwrap().labels)
        });
        servers
    }

    /// Returns the newest heartbeat of each server.
    pub fn heartbeats(&self) -> Vec<ServerHeartbeat> {
        self.servers().iter().map(|server| server.heartbeat.read().unwrap().clone()).collect()
    }
}
