//! Ending and starting what a held fleet is made of, and healing it.
use super::laid::{Laid, SERVERS};
use crate::fleet::core::ProcessId;
use std::sync::Arc;

/// A server drops a link whose far end went dark after so long.
const DEAD_PEER_TIMEOUT: u64 = 3_000;

impl Laid {
    pub fn crash_server(self: &Arc<Self>, i: usize, dark: bool) {
        let pid = self.site.with(|s| s.servers[i].pid);
        if !self.core.lock().processes[pid].up {
            return;
        }
        self.core.crash(pid, dark);
        let gone = self.site.with(|s| s.server_stopped(i, dark));
        if dark {
            self.core.schedule_action(self.core.now() + 4_000, move |_| drop(gone));
        }
    }
    pub fn start_server(self: &Arc<Self>, i: usize) {
        let pid = self.site.with(|s| s.servers[i].pid);
        if self.core.lock().processes[pid].up {
            return;
        }
        self.core.restart(pid);
        self.site.with(|s| s.server_started(i, self.core.now()));
    }
    pub fn crash_node(self: &Arc<Self>, pid: ProcessId, dark: bool) {
        self.core.crash(pid, dark);
        let of: Vec<u64> =
            self.site.with(|s| s.links.iter().filter(|(_, l)| l.node == pid).map(|(i, _)| *i).collect());
        let l = self.clone();
        let end = move || {
            for id in of {
                l.site.with(|s| s.links.remove(&id));
            }
        };
        if dark {
            self.core.schedule_action(self.core.now() + DEAD_PEER_TIMEOUT, move |_| end());
        } else {
            end();
        }
    }
    pub fn crash_process(self: &Arc<Self>, pid: ProcessId, dark: bool) {
        let server = self.site.with(|s| s.servers.iter().position(|s| s.pid == pid));
        match server {
            Some(i) => self.crash_server(i, dark),
            None if self.nodes.iter().any(|n| n.pid == pid) => self.crash_node(pid, dark),
            None => self.core.crash(pid, dark),
        }
    }
    pub fn start(self: &Arc<Self>, pid: ProcessId) {
        let server = self.site.with(|s| s.servers.iter().position(|s| s.pid == pid));
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
            self.core.pause(p, 0);
            self.start(p);
        }
        for i in 0..SERVERS {
            self.site.with(|s| {
                let s = &mut s.servers[i];
                (s.deaf, s.replication_lag, s.extra_latency, s.lose) = (false, 5, 0, 0);
            });
        }
    }
}
