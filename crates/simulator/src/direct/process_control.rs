//! Crashes and starts the processes of a fleet on direct connections, and ends all faults.
use super::setup::DirectFleet;
use crate::fleet::simulation::ProcessId;
use quincehatch_core::Millis;
use std::sync::Arc;

/// A server drops its connections to a node this long after the node lost power.
const DEAD_NODE_TIMEOUT: Millis = 3_000;
/// Pending commits of a server fail this long after the server lost power.
const DEAD_SERVER_TIMEOUT: Millis = 4_000;
/// Lag of a healthy replica.
pub(super) const HEALTHY_LAG: Millis = 5;

impl DirectFleet {
    /// Crashes a server if it is up.
    pub fn crash_server(self: &Arc<Self>, server: usize, power_loss: bool) {
        let pid = self.group.with(|state| state.servers[server].pid);
        if !self.simulation.lock().processes[pid].is_up {
            return;
        }
        self.simulation.crash(pid, power_loss);
        let pending = self.group.with(|state| state.server_stopped(server, power_loss));
        if power_loss {
            let until = self.simulation.now() + DEAD_SERVER_TIMEOUT;
            self.simulation.schedule_action(until, move |_| drop(pending));
        }
    }

    /// Starts a server if it is down.
    pub fn start_server(self: &Arc<Self>, server: usize) {
        let pid = self.group.with(|state| state.servers[server].pid);
        if self.simulation.lock().processes[pid].is_up {
            return;
        }
        self.simulation.restart(pid);
        let now = self.simulation.now();
        self.group.with(|state| state.server_started(server, now));
    }

    fn crash_node(self: &Arc<Self>, pid: ProcessId, power_loss: bool) {
        self.simulation.crash(pid, power_loss);
        let ids: Vec<u64> = self.group.with(|state| {
            let own = state.connections.iter().filter(|(_, connection)| connection.node == pid);
            own.map(|(id, _)| *id).collect()
        });
        let group = self.group.clone();
        let drop_connections = move || {
            for id in ids {
                group.with(|state| state.connections.remove(&id));
            }
        };
        if power_loss {
            let until = self.simulation.now() + DEAD_NODE_TIMEOUT;
            self.simulation.schedule_action(until, move |_| drop_connections());
        } else {
            drop_connections();
        }
    }

    /// Crashes a process. If it is a server or a node, its connections end as well.
    pub fn crash_process(self: &Arc<Self>, pid: ProcessId, power_loss: bool) {
        let server = self.group.with(|state| state.server_of_process(pid));
        let is_node = self.nodes.iter().any(|node| node.pid == pid);
        match server {
            Some(server) => self.crash_server(server, power_loss),
            None if is_node => self.crash_node(pid, power_loss),
            None => self.simulation.crash(pid, power_loss),
        }
    }

    /// Starts a process if it is down.
    pub fn start_process(self: &Arc<Self>, pid: ProcessId) {
        match self.group.with(|state| state.server_of_process(pid)) {
            Some(server) => self.start_server(server),
            None => self.simulation.restart(pid),
        }
    }

    /// Ends all faults and starts all processes that are down.
    pub fn heal_all(self: &Arc<Self>) {
        self.simulation.log("all is healed");
        self.simulation.lock().clear_faults();
        let count = self.simulation.lock().processes.len();
        for pid in 0..count {
            self.simulation.suspend(pid, 0);
            self.start_process(pid);
        }
        self.group.with(|state| {
            state.promoter_delay = 0;
            state.next_interruption = None;
            for server in &mut state.servers {
                server.replication_stopped = false;
                server.replication_lag = HEALTHY_LAG;
                server.extra_latency = 0;
                server.replies_to_lose = 0;
            }
        });
    }
}
