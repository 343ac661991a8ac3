//! Ending and starting what a held fleet is made of, and healing it.
use super::setup::{DirectFleet, SERVERS};
use crate::fleet::simulation::ProcessId;
use std::sync::Arc;

/// A server drops a link whose far end went dark after so long.
const DEAD_PEER_TIMEOUT: u64 = 3_000;

impl DirectFleet {
    pub fn crash_server(self: &Arc<Self>, i: usize, dark: bool) {
        let pid = self.group.with(|s| s.servers[i].pid);
        if !self.core.lock().processes[pid].up {
            return;
        }
        self.core.crash(pid, dark);
        let gone = self.group.with(|s| s.server_stopped(i, dark));
        if dark {
            self.core.schedule_action(self.core.now() + 4_000, move |_| drop(gone));
        }
    }
    pub fn start_server(self: &Arc<Self>, i: usize) {
        let pid = self.group.with(|s| s.servers[i].pid);
        if self.core.lock().processes[pid].up {
            return;
        }
        self.core.restart(pid);
        self.group.with(|s| s.server_started(i, self.core.now()));
    }
    pub fn crash_node(self: &Arc<Self>, pid: ProcessId, dark: bool) {
        self.core.crash(pid, dark);
        let of: Vec<u64> = self
            .group
            .with(|s| s.connections.iter().filter(|(_, l)| l.node == pid).map(|(i, _)| *i).collect());
        let l = self.clone();
        let end = move || {
            for id in of {
                l.group.with(|s| s.connections.remove(&id));
            }
        };
        if dark {
            self.core.schedule_action(self.core.now() + DEAD_PEER_TIMEOUT, move |_| end());
        } else {
            end();
        }
    }
    pub fn crash_process(self: &Arc<Self>, pid: ProcessId, dark: bool) {
        let server = self.group.with(|s| s.servers.iter().position(|s| s.pid == pid));
        match server {
            Some(i) => self.crash_server(i, dark),
            None if self.nodes.iter().any(|n| n.pid == pid) => self.crash_node(pid, dark),
            None => self.core.crash(pid, dark),
        }
    }
    pub fn start_process(self: &Arc<Self>, pid: ProcessId) {
        let server = self.group.with(|s| s.servers.iter().position(|s| s.pid == pid));
        match server {
            Some(i) => self.start_server(i),
            None => self.core.restart(pid),
        }
    }
    /// All that is broken is made whole.
    pub fn heal_all(self: &Arc<Self>) {
        self.core.log("all is healed");
        {
            let mut m = self.core.lock();
            (m.crashes_enabled, m.loss_per_mille, m.delay_range) = (false, 0, (1, 12));
            m.partitions.clear();
            m.trap = None;
        }
        let n = self.core.lock().processes.len();
        for p in 0..n {
            self.core.suspend(p, 0);
            self.start_process(p);
        }
        for i in 0..SERVERS {
            self.group.with(|s| {
                let s = &mut s.servers[i];
                (s.replication_stopped, s.replication_lag, s.extra_latency, s.replies_to_lose) =
                    (false, 5, 0, 0);
            });
        }
    }
}
