//! Cutting, pausing, killing and starting simulated processes (§9.1).
use super::core::{Core, Ev, Pid};
use quincehatch_core::Millis;
use std::sync::Arc;

impl Core {
    pub fn cut(&self, p: Pid, q: Pid, both: bool) {
        let mut m = self.lock();
        m.cuts.insert((p, q));
        if both {
            m.cuts.insert((q, p));
        }
    }
    pub fn mend(&self, p: Pid, q: Pid) {
        let mut m = self.lock();
        m.cuts.remove(&(p, q));
        m.cuts.remove(&(q, p));
    }
    /// Stands still for so long; with 0 goes on at once.
    pub fn pause(&self, p: Pid, ms: Millis) {
        let mut m = self.lock();
        let until = m.now + ms;
        m.hosts[p].paused_until = if ms == 0 { 0 } else { m.hosts[p].paused_until.max(until) };
        m.at(until, Ev::Resume(p));
    }
    pub fn crash(&self, p: Pid, dark: bool) {
        let mut m = self.lock();
        if !m.hosts[p].up {
            return;
        }
        m.hosts[p].up = false;
        m.hosts[p].dark = dark;
        self.bury(&mut m, p);
        m.drop_links(p, dark);
    }
    pub fn restart(self: &Arc<Self>, p: Pid) {
        let start = {
            let mut m = self.lock();
            if m.hosts[p].up {
                return;
            }
            // A monotonic clock begins anew with its machine.
            let base = m.rng.below(1_000_000);
            let h = &mut m.hosts[p];
            (h.up, h.dark, h.paused_until, h.base) = (true, false, 0, base);
            h.life += 1;
            h.start.clone()
        };
        self.within(p, || start(self, p));
    }
    /// A process came to a point of its work: a snare there makes it stand still, or die and come back.
    pub fn came_to(self: &Arc<Self>, p: Pid, what: &str) {
        let mut m = self.lock();
        let Some(s) = m.snare.take_if(|s| what.contains(&s.point)) else { return };
        let at = m.now;
        m.snared = at;
        drop(m);
        self.say(&format!("snare {s:?}"));
        self.later(at, move |c| match s.pause {
            Some(ms) => c.pause(p, ms),
            None => {
                c.crash(p, false);
                c.later(c.now() + 4_000, move |c| c.restart(p));
            }
        });
    }
    /// A process dies within its own step; it is back a little later.
    pub fn crash_soon(self: &Arc<Self>, p: Pid) {
        self.crash(p, false);
        let at = {
            let mut m = self.lock();
            m.now + 300 + m.rng.below(3_000)
        };
        self.later(at, move |c| c.restart(p));
    }
}
