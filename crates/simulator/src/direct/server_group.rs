//! A simulated group of servers: one state that events change in the order of time.
use super::connection::Connection;
use super::ledger::Ledger;
use super::server::Server;
use crate::fleet::simulation::{ProcessId, Simulation};
use quincehatch_core::{FencingToken, Millis, Role};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, Weak};

/// Nodes are in touch with the keepers this long after the last disturbance.
const RECONNECT_PERIOD: Millis = 4_000;

/// All servers, their connections, and what the checks know.
pub struct GroupState {
    /// The servers.
    pub servers: Vec<Server>,
    /// Connections by id.
    pub connections: BTreeMap<u64, Connection>,
    /// Id of the newest connection.
    pub last_connection_id: u64,
    /// The highest fence the promoter has seen.
    pub fence: FencingToken,
    /// The promoter's process.
    pub promoter: ProcessId,
    /// What clients sent and learned.
    pub ledger: Ledger,
    /// Until when faults touch a process or its connections.
    pub disturbed_until: BTreeMap<ProcessId, Millis>,
    /// Until when faults touch any keeper.
    pub keepers_disturbed_until: Millis,
    /// Promotions that took effect.
    pub promotions: usize,
    /// When the newest accepted promotion takes effect.
    pub last_promotion_effective: Millis,
}

/// The group, shared by all that reach it.
pub struct ServerGroup {
    simulation: Weak<Simulation>,
    state: Mutex<GroupState>,
}

impl GroupState {
    /// True if no fault touched the node or the keepers for long enough before `at`.
    pub fn is_undisturbed(&self, node: ProcessId, at: Millis) -> bool {
        let node_calm_from = self.disturbed_until.get(&node).map_or(0, |until| until + RECONNECT_PERIOD);
        at > node_calm_from && at > self.keepers_disturbed_until + RECONNECT_PERIOD
    }

    /// Notes that faults touch a process until then.
    pub fn mark_disturbed(&mut self, pid: ProcessId, until: Millis) {
        let disturbed_until = self.disturbed_until.entry(pid).or_default();
        *disturbed_until = until.max(*disturbed_until);
    }

    /// Notes that faults touch the keepers until then.
    pub fn mark_keepers_disturbed(&mut self, until: Millis) {
        self.keepers_disturbed_until = self.keepers_disturbed_until.max(until);
    }

    /// The primary of the highest term.
    pub fn primary(&self) -> Option<usize> {
        let primaries = self.servers.iter().enumerate().filter(|(_, server)| server.role == Role::Primary);
        primaries.max_by_key(|(_, server)| server.term).map(|(index, _)| index)
    }

    /// The server of that name.
    pub fn server_named(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.name == name)
    }

    /// The server whose process this is.
    pub fn server_of_process(&self, pid: ProcessId) -> Option<usize> {
        self.servers.iter().position(|server| server.pid == pid)
    }

    /// Ids of all connections of a server.
    pub fn connections_of_server(&self, server: usize) -> Vec<u64> {
        let own = self.connections.iter().filter(|(_, connection)| connection.server == server);
        own.map(|(id, _)| *id).collect()
    }

    /// The server's end of a connection is gone, and its node learns it.
    pub fn break_connection(&mut self, id: u64) {
        if let Some(connection) = self.connections.remove(&id) {
            connection.broken.store(true, Ordering::SeqCst);
        }
    }
}

impl ServerGroup {
    /// A group without servers.
    pub fn new(simulation: &Arc<Simulation>, promoter: ProcessId) -> Arc<ServerGroup> {
        let state = GroupState {
            servers: Vec::new(),
            connections: BTreeMap::new(),
            last_connection_id: 0,
            fence: 0,
            promoter,
            ledger: Ledger::default(),
            disturbed_until: BTreeMap::new(),
            keepers_disturbed_until: 0,
            promotions: 0,
            last_promotion_effective: 0,
        };
        Arc::new(ServerGroup { simulation: Arc::downgrade(simulation), state: Mutex::new(state) })
    }

    /// The simulation; none once the run has ended.
    pub fn simulation(&self) -> Option<Arc<Simulation>> {
        self.simulation.upgrade()
    }

    /// Works on the state.
    pub fn with<T>(&self, work: impl FnOnce(&mut GroupState) -> T) -> T {
        work(&mut self.state.lock().unwrap())
    }
}
