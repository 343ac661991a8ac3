//! The state of a simulated group of servers, which events change in the order of their times.
use super::connection::Connection;
use super::ledger::Ledger;
use super::server::Server;
use crate::fleet::simulation::{ProcessId, Simulation};
use quincehatch_core::{FencingToken, Millis, Role};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, Weak};

/// Nodes have reconnected to the keepers this long after the last disturbance.
const RECONNECT_PERIOD: Millis = 4_000;

/// An interruption of the replication to the server that the promoter is called for.
#[derive(Clone, Copy, Debug)]
pub struct Interruption {
    /// Time from the call to the interruption.
    pub after: Millis,
    /// How long the server receives nothing.
    pub time: Millis,
}

/// All servers, their connections, and the data that the checks need.
pub struct GroupState {
    /// The servers.
    pub servers: Vec<Server>,
    /// Connections by id.
    pub connections: BTreeMap<u64, Connection>,
    /// Id of the newest connection.
    pub last_connection_id: u64,
    /// The highest fencing token that the promoter has seen.
    pub fence: FencingToken,
    /// How long the promoter takes before it carries a call out.
    pub promoter_delay: Millis,
    /// When the promoter carries out the newest call. It carries calls out in the order in which they arrive.
    pub last_call_carried_out: Millis,
    /// The interruption of replication that follows the next call to the promoter.
    pub next_interruption: Option<Interruption>,
    /// The promoter's process.
    pub promoter: ProcessId,
    /// The record of statements, commits and responses that the checks compare.
    pub ledger: Ledger,
    /// The time until which faults affect a process or its connections, by process.
    pub disturbed_until: BTreeMap<ProcessId, Millis>,
    /// The time until which faults affect any keeper.
    pub keepers_disturbed_until: Millis,
    /// Number of promotions that took effect.
    pub promotions: usize,
    /// When the newest accepted promotion takes effect.
    pub last_promotion_effective: Millis,
}

/// The group's state, shared by the simulated processes and the checks.
pub struct ServerGroup {
    simulation: Weak<Simulation>,
    state: Mutex<GroupState>,
}

impl GroupState {
    /// Whether the last fault that affected the node or the keepers ended more than [`RECONNECT_PERIOD`] before `at`.
    pub fn is_undisturbed(&self, node: ProcessId, at: Millis) -> bool {
        let node_undisturbed_from =
            self.disturbed_until.get(&node).map_or(0, |until| until + RECONNECT_PERIOD);
        at > node_undisturbed_from && at > self.keepers_disturbed_until + RECONNECT_PERIOD
    }

    /// Records that faults affect a process until the given time.
    pub fn mark_disturbed(&mut self, pid: ProcessId, until: Millis) {
        let disturbed_until = self.disturbed_until.entry(pid).or_default();
        *disturbed_until = until.max(*disturbed_until);
    }

    /// Records that faults affect the keepers until the given time.
    pub fn mark_keepers_disturbed(&mut self, until: Millis) {
        self.keepers_disturbed_until = self.keepers_disturbed_until.max(until);
    }

    /// Returns the index of the primary with the highest term.
    pub fn primary(&self) -> Option<usize> {
        let primaries = self.servers.iter().enumerate().filter(|(_, server)| server.role == Role::Primary);
        primaries.max_by_key(|(_, server)| server.term).map(|(index, _)| index)
    }

    /// Returns the index of the server with this name.
    pub fn server_named(&self, name: &str) -> Option<usize> {
        self.servers.iter().position(|server| server.name == name)
    }

    /// Returns the index of the server that runs in this process.
    pub fn server_of_process(&self, pid: ProcessId) -> Option<usize> {
        self.servers.iter().position(|server| server.pid == pid)
    }

    /// Returns the ids of all connections of a server.
    pub fn connections_of_server(&self, server: usize) -> Vec<u64> {
        let own = self.connections.iter().filter(|(_, connection)| connection.server == server);
        own.map(|(id, _)| *id).collect()
    }

    /// Removes the server's end of a connection and marks the node's end as broken.
    pub fn break_connection(&mut self, id: u64) {
        if let Some(connection) = self.connections.remove(&id) {
            connection.broken.store(true, Ordering::SeqCst);
        }
    }
}

impl ServerGroup {
    /// Creates a group without servers.
    pub fn new(simulation: &Arc<Simulation>, promoter: ProcessId) -> Arc<ServerGroup> {
        let state = GroupState {
            servers: Vec::new(),
            connections: BTreeMap::new(),
            last_connection_id: 0,
            fence: 0,
            promoter_delay: 0,
            last_call_carried_out: 0,
            next_interruption: None,
            promoter,
            ledger: Ledger::default(),
            disturbed_until: BTreeMap::new(),
            keepers_disturbed_until: 0,
            promotions: 0,
            last_promotion_effective: 0,
        };
        Arc::new(ServerGroup { simulation: Arc::downgrade(simulation), state: Mutex::new(state) })
    }

    /// Returns the simulation, or `None` once the run has ended.
    pub fn simulation(&self) -> Option<Arc<Simulation>> {
        self.simulation.upgrade()
    }

    /// Locks the state and passes it to `work`.
    pub fn with<T>(&self, work: impl FnOnce(&mut GroupState) -> T) -> T {
        work(&mut self.state.lock().unwrap())
    }
}
