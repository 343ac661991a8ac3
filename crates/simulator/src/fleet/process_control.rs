//! Cutting, pausing, killing and starting simulated processes (§9.1).
use super::simulation::{Event, ProcessId, Simulation};
use quincehatch_core::Millis;
use std::sync::Arc;

impl Simulation {
    pub fn partition(&self, p: ProcessId, q: ProcessId, both: bool) {
        let mut m = self.lock();
        m.partitions.insert((p, q));
        if both {
            m.partitions.insert((q, p));
        }
    }
    pub fn heal_partition(&self, p: ProcessId, q: ProcessId) {
        let mut m = self.lock();
        m.partitions.remove(&(p, q));
        m.partitions.remove(&(q, p));
    }
    /// Stands still for so long; with 0 goes on at once.
    pub fn suspend(&self, p: ProcessId, ms: Millis) {
        let mut m = self.lock();
        let until = m.now + ms;
        m.processes[p].paused_until = if ms == 0 { 0 } else { m.processes[p].paused_until.max(until) };
        m.schedule(until, Event::Resume(p));
    }
    pub fn crash(&self, p: ProcessId, dark: bool) {
        let mut m = self.lock();
        if !m.processes[p].up {
            return;
        }
        m.processes[p].up = false;
        m.processes[p].powered_off = dark;
        self.kill_tasks(&mut m, p);
        m.drop_connections(p, dark);
    }
    pub fn restart(self: &Arc<Self>, p: ProcessId) {
        let start = {
            let mut m = self.lock();
            if m.processes[p].up {
                return;
            }
            // A monotonic clock begins anew with its machine.
            let base = m.rng.below(1_000_000);
            let h = &mut m.processes[p];
            (h.up, h.powered_off, h.paused_until, h.clock_offset) = (true, false, 0, base);
            h.incarnation += 1;
            h.start.clone()
        };
        self.run_in(p, || start(self, p));
    }
    /// A process came to a point of its work: a snare there makes it stand still, or die and come back.
    pub fn reach_trace_point(self: &Arc<Self>, p: ProcessId, what: &str) {
        let mut m = self.lock();
        let Some(s) = m.trap.take_if(|s| what.contains(&s.trace_point)) else { return };
        let at = m.now;
        m.trap_sprung_at = at;
        drop(m);
        self.log(&format!("snare {s:?}"));
        self.schedule_action(at, move |c| match s.pause {
            Some(ms) => c.suspend(p, ms),
            None => {
                c.crash(p, false);
                c.schedule_action(c.now() + 4_000, move |c| c.restart(p));
            }
        });
    }
    /// A process dies within its own step; it is back a little later.
    pub fn crash_and_restart(self: &Arc<Self>, p: ProcessId) {
        self.crash(p, false);
        let at = {
            let mut m = self.lock();
            m.now + 300 + m.rng.below(3_000)
        };
        self.schedule_action(at, move |c| c.restart(p));
    }
}
