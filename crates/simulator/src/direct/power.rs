//! Ending and starting what a held fleet is made of, and healing it.
use super::laid::{Laid, SERVERS};
use crate::fleet::core::Pid;
use std::sync::Arc;

/// A server drops a link whose far end went dark after so long.
const DARK: u64 = 3_000;

impl Laid {
    pub fn crash_server(self: &Arc<Self>, i: usize, dark: bool) {
        let pid = self.site.with(|s| s.servers[i].pid);
        if !self.core.lock().hosts[pid].up {
            return;
        }
        self.core.crash(pid, dark);
        let gone = self.site.with(|s| s.server_gone(i, dark));
        if dark {
            self.core.later(self.core.now() + 4_000, move |_| drop(gone));
        }
    }
    pub fn start_server(self: &Arc<Self>, i: usize) {
        let pid = self.site.with(|s| s.servers[i].pid);
        if self.core.lock().hosts[pid].up {
            return;
        }
        self.core.restart(pid);
        self.site.with(|s| s.server_back(i, self.core.now()));
    }
    pub fn crash_node(self: &Arc<Self>, pid: Pid, dark: bool) {
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
            self.core.later(self.core.now() + DARK, move |_| end());
        } else {
            end();
        }
    }
    pub fn crash(self: &Arc<Self>, pid: Pid, dark: bool) {
        let server = self.site.with(|s| s.servers.iter().position(|s| s.pid == pid));
        match server {
            Some(i) => self.crash_server(i, dark),
            None if self.nodes.iter().any(|n| n.pid == pid) => self.crash_node(pid, dark),
            None => self.core.crash(pid, dark),
        }
    }
    pub fn start(self: &Arc<Self>, pid: Pid) {
        let server = self.site.with(|s| s.servers.iter().position(|s| s.pid == pid));
        match server {
            Some(i) => self.start_server(i),
            None => self.core.restart(pid),
        }
    }
    /// All that is broken is made whole.
    pub fn heal(self: &Arc<Self>) {
        self.core.say("all is healed");
        {
            let mut m = self.core.lock();
            (m.faulty, m.loss_pm, m.delay) = (false, 0, (1, 12));
            m.cuts.clear();
            m.snare = None;
        }
        let n = self.core.lock().hosts.len();
        for p in 0..n {
            self.core.pause(p, 0);
            self.start(p);
        }
        for i in 0..SERVERS {
            self.site.with(|s| {
                let s = &mut s.servers[i];
                (s.deaf, s.lag, s.slow, s.lose) = (false, 5, 0, 0);
            });
        }
    }
}
