//! The registry: what a node knows of servers, configuration and primaries. Whoever learns something writes it here,
//! everyone reads. Each part is under a lock of its own.
pub use crate::routing::cluster_state::ClusterState;
pub use crate::routing::server_entry::{ServerCheckout, ServerEntry, StatusRecord};

use crate::latest::Latest;
use crate::routing::acknowledged::AcknowledgedEnds;
use crate::routing::in_flight::InFlightCounts;
use crate::routing::node_lease::NodeLease;
use crate::staleness::PrimaryPositions;
use quincehatch_config::configuration::{Configuration, HealthSettings, Placement, default_health_settings};
use quincehatch_core::name_table::NameTable;
use quincehatch_core::{
    FencingToken, Millis, Name, Position, PrimaryAssignment, ServerHeartbeat, ServerState,
};
use quincehatch_runtime::now;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use tokio::sync::Notify;

/// Servers that a node keeps account of at most.
const MAX_SERVERS: usize = 1_024;

/// What one node knows.
#[derive(Default)]
pub struct Registry {
    names: RwLock<NameTable>,
    servers: RwLock<Vec<Arc<ServerEntry>>>,
    cluster_state: Latest<ClusterState>,
    primary_positions: Mutex<BTreeMap<Name, PrimaryPositions>>,
    lease: NodeLease,
    acknowledged: AcknowledgedEnds,
    /// Work in flight, and requests that wait for a primary.
    pub in_flight: InFlightCounts,
    /// Notified when a new cluster state is in force.
    pub changed: Notify,
    /// The node stops: it takes no new work.
    pub stopping: AtomicBool,
    /// An operator asked that no more clients be sent here.
    pub draining: AtomicBool,
}

/// Configuration and primaries.
impl Registry {
    /// Configuration and primaries of this moment.
    pub fn cluster_state(&self) -> Arc<ClusterState> {
        self.cluster_state.get()
    }

    /// Puts a cluster state in force unless it is older than the one that is; returns whether it was taken.
    pub fn set_cluster_state(&self, state: ClusterState) -> bool {
        let taken = self.cluster_state.set(state, |old, new| self.note_new_primaries(old, new));
        self.changed.notify_waiters();
        taken
    }

    fn note_new_primaries(&self, old: &ClusterState, new: &ClusterState) {
        for (group, assignment) in &new.primaries {
            if old.primaries.get(group) == Some(assignment) {
                continue;
            }
            let server = assignment.server.as_ref().and_then(|name| self.server(name));
            if let Some(server) = server {
                server.health.lock().unwrap().note_assigned_primary(now());
            }
        }
    }

    /// Whether the server is named the group's primary.
    pub fn is_primary(&self, group: &str, server: &str) -> bool {
        self.cluster_state.get().primary_of(group).is_some_and(|primary| primary == server)
    }

    /// Who is named the group's primary, and under which fence.
    pub fn primary(&self, group: &str) -> Option<PrimaryAssignment> {
        self.cluster_state.get().primaries.get(group).cloned()
    }

    /// The health settings in force.
    pub fn health_settings(&self) -> HealthSettings {
        match &self.cluster_state.get().configuration {
            Some(configuration) => configuration.health.clone(),
            None => default_health_settings().clone(),
        }
    }
}

/// The node's lease.
impl Registry {
    /// The lease holds until then on the local clock.
    pub fn renew_lease(&self, until: Millis) {
        self.lease.renew(until);
    }

    /// The lease is used no more, whatever is left of it.
    pub fn release_lease(&self) {
        self.lease.set(0);
    }

    /// Sets the lease outright, to a lower value too: a test's way to a node whose lease runs out.
    #[doc(hidden)]
    pub fn set_lease_for_test(&self, until: Millis) {
        self.lease.set(until);
    }

    /// What is left of the lease, in milliseconds.
    pub fn lease_remaining(&self) -> Millis {
        self.lease.remaining()
    }

    /// Whether the lease holds.
    pub fn has_lease(&self) -> bool {
        self.lease.is_held()
    }

    /// Whether the node stops.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }
}

/// The servers.
impl Registry {
    /// Applies a heartbeat, whatever way it came; the newest wins. Returns whether it was new.
    pub fn apply_heartbeat(&self, heartbeat: ServerHeartbeat) -> bool {
        let is_known = self.server(&heartbeat.server).is_some();
        if !is_known && self.servers.read().unwrap().len() >= MAX_SERVERS {
            return false;
        }
        let server = self.server_or_insert(&heartbeat);
        let mut current = server.heartbeat.write().unwrap();
        if heartbeat.version() <= current.version() && current.seq != 0 {
            return false;
        }
        let has_moved = current.addr != heartbeat.addr;
        let has_restarted = current.boot != heartbeat.boot;
        let is_draining = heartbeat.state == ServerState::Draining;
        *current = heartbeat;
        drop(current);
        if has_moved || has_restarted {
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
        // Another task may have inserted it since.
        if let Some(server) = servers.get(index.0 as usize) {
            return server.clone();
        }
        let server = Arc::new(ServerEntry::new(index, heartbeat));
        servers.push(server.clone());
        server
    }

    /// The server of this name.
    pub fn server(&self, name: &str) -> Option<Arc<ServerEntry>> {
        let index = self.names.read().unwrap().index_of(name)?;
        self.servers.read().unwrap().get(index.0 as usize).cloned()
    }

    /// All servers.
    pub fn servers(&self) -> Vec<Arc<ServerEntry>> {
        self.servers.read().unwrap().clone()
    }

    /// The servers of a placement, by their labels.
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

    /// The newest heartbeat of each server.
    pub fn heartbeats(&self) -> Vec<ServerHeartbeat> {
        self.servers().iter().map(|server| server.heartbeat.read().unwrap().clone()).collect()
    }
}

/// Positions of primaries, and what was acknowledged.
impl Registry {
    /// The group's primary was observed at `position` by a request that left at `asked_at`.
    ///
    /// The observation still proves something when another server is primary by now, as no other acknowledges a commit
    /// while this node holds its lease and has not heard of the change; without a lease one may.
    pub fn record_primary_position(&self, group: &str, asked_at: Millis, position: Position) {
        if self.has_lease() {
            self.with_primary_positions(group, |positions| positions.note(asked_at, position));
        }
    }

    /// The least position that proves a read of the group to be no more than `max_staleness` behind.
    pub fn needed_position(&self, group: &str, max_staleness: Millis) -> Option<Position> {
        self.with_primary_positions(group, |positions| positions.needed(now(), max_staleness))
    }

    /// Calls `access` with the observed positions of the group's primary.
    pub fn with_primary_positions<T>(
        &self,
        group: &str,
        access: impl FnOnce(&mut PrimaryPositions) -> T,
    ) -> T {
        let mut by_group = self.primary_positions.lock().unwrap();
        access(by_group.entry(group.into()).or_default())
    }

    /// A commit that was sent under `fence` and ends at `end` is to be passed on as acknowledged.
    ///
    /// False if it must not be, as whether it stays is not known: the end was reported already to whoever chooses another
    /// primary, or the primary may be demoted. Servers that are suspended for a demotion may be resumed by a late message
    /// of an earlier one; what is passed on only before the demotion was on a replica before.
    #[must_use]
    pub fn record_acknowledged(&self, group: &str, fence: FencingToken, end: Position) -> bool {
        self.acknowledged.record(group, fence, end, || {
            let has_newer_fence = || self.primary(group).is_some_and(|primary| primary.fence > fence);
            self.has_lease() && !has_newer_fence()
        })
    }

    /// The end of all that this process passed on as acknowledged.
    pub fn acknowledged_end(&self, group: &str) -> Position {
        self.acknowledged.end(group)
    }

    /// The same; and nothing that was sent under a lower fence than `fence` is passed on after this.
    pub fn seal_acknowledged(&self, group: &str, fence: FencingToken) -> Position {
        self.acknowledged.seal(group, fence)
    }
}
