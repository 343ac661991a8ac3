//! What goes wrong in a simulated fleet, drawn from the seed (§9.1).
use super::core::{ProcessId, Trap};
use super::procs::Laid;
use quincehatch_core::{Millis, ServerState};
use quincehatch_testbed::stand_in::faults::Wish;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub enum Fault {
    Crash(ProcessId, Millis),
    /// The machine goes off without a word: its links are not closed.
    PowerOff(ProcessId, Millis),
    Pause(ProcessId, Millis),
    /// From the first to the second, for so long; both ways when the flag is up.
    Cut(ProcessId, ProcessId, bool, Millis),
    /// Cut off from everyone; with the flag only what it sends is lost.
    Alone(ProcessId, bool, Millis),
    /// Some are cut off from the rest, though callers reach all; with the flag only what they send is lost.
    Split(Vec<ProcessId>, bool, Millis),
    PacketLoss(u64, Millis),
    /// Something inside a server, and its end after so long.
    Server(usize, Wish, Wish, Millis),
    /// A server says that it leaves, goes, and is back.
    Leave(usize, Millis),
    /// Whoever promotes next is stopped at a point of it.
    Trap(Trap),
}

pub fn wish(f: impl FnOnce(&mut Wish)) -> Wish {
    let mut w = Wish::default();
    f(&mut w);
    w
}

/// Draws one fault.
pub fn draw(l: &Laid) -> Fault {
    let mut m = l.core.lock();
    let all: Vec<ProcessId> =
        l.keepers.iter().chain(&l.nodes).copied().chain(l.servers.iter().map(|s| s.pid)).collect();
    let r = &mut m.rng;
    let p = *r.pick(&all).unwrap_or(&0);
    let q = *r.pick(&all).unwrap_or(&0);
    let s = r.below(l.servers.len() as u64) as usize;
    let ms = 200 + r.below(6_500);
    let off = |f: fn(&mut Wish, bool)| (wish(|w| f(w, true)), wish(|w| f(w, false)));
    match r.below(100) {
        0..20 => Fault::Crash(p, ms),
        20..28 => Fault::PowerOff(p, ms),
        28..42 => Fault::Pause(p, ms),
        42..47 => Fault::Cut(p, q, r.chance(500), ms),
        47..56 => {
            let some = all.iter().copied().filter(|_| r.chance(300)).collect();
            Fault::Split(some, r.chance(300), ms + 2_500)
        }
        56..62 => Fault::Alone(p, r.chance(400), ms),
        62..68 => Fault::PacketLoss(20 + r.below(150), ms),
        68..78 => {
            let (a, b) = off(|w, on| w.stall = Some(on));
            Fault::Server(s, a, b, ms)
        }
        78..82 => {
            let (a, b) = off(|w, on| w.deaf = Some(on));
            Fault::Server(s, a, b, ms)
        }
        82..85 => Fault::Server(s, wish(|w| w.slow_ms = Some(300)), wish(|w| w.slow_ms = Some(0)), ms),
        85..88 => Fault::Server(s, wish(|w| w.lag_ms = Some(900)), wish(|w| w.lag_ms = Some(0)), ms),
        88..92 => {
            Fault::Server(s, wish(|w| w.lose_answers = Some(5)), wish(|w| w.lose_answers = Some(0)), ms)
        }
        92..96 => Fault::Server(s, wish(|w| w.reset = Some(true)), Wish::default(), ms),
        _ => Fault::Leave(s, ms),
    }
}

/// Draws faults for a stretch of time; some run side by side.
pub fn schedule_faults(l: &Arc<Laid>, from: Millis, len: Millis, draw: fn(&Laid) -> Fault) {
    let mut t = from;
    loop {
        t += 300 + l.core.lock().rng.below(3_500);
        if t >= from + len {
            return;
        }
        let x = l.clone();
        l.core.schedule_action(t, move |_| {
            let f = draw(&x);
            strike(&x, f);
        });
    }
}

fn after(l: &Arc<Laid>, ms: Millis, f: impl FnOnce(&Arc<Laid>) + Send + 'static) {
    let (x, at) = (l.clone(), l.core.now() + ms);
    l.core.schedule_action(at, move |_| f(&x));
}

pub fn strike(l: &Arc<Laid>, f: Fault) {
    let c = &l.core;
    c.log(&format!("fault {f:?}"));
    c.lock().crashes_enabled = true;
    match f {
        Fault::Crash(p, ms) => {
            c.crash(p, false);
            after(l, ms, move |l| l.core.restart(p));
        }
        Fault::PowerOff(p, ms) => {
            c.crash(p, true);
            after(l, ms, move |l| l.core.restart(p));
        }
        Fault::Pause(p, ms) => c.pause(p, ms),
        Fault::Cut(p, q, both, ms) => {
            c.cut(p, q, both);
            after(l, ms, move |l| l.core.mend(p, q));
        }
        Fault::Alone(p, one_way, ms) => {
            let n = c.lock().processes.len();
            (0..n).filter(|q| *q != p).for_each(|q| c.cut(p, q, !one_way));
            after(l, ms, move |l| (0..n).for_each(|q| l.core.mend(p, q)));
        }
        Fault::Split(some, one_way, ms) => {
            let n = l.platform_process;
            let pairs: Vec<(ProcessId, ProcessId)> =
                some.iter().flat_map(|p| (0..n).filter(|q| !some.contains(q)).map(|q| (*p, q))).collect();
            pairs.iter().for_each(|(p, q)| c.cut(*p, *q, !one_way));
            after(l, ms, move |l| pairs.iter().for_each(|(p, q)| l.core.mend(*p, *q)));
        }
        Fault::PacketLoss(pm, ms) => {
            {
                let mut m = c.lock();
                (m.loss_per_mille, m.delay_range) = (pm, (1, 80));
            }
            after(l, ms, |l| {
                let mut m = l.core.lock();
                (m.loss_per_mille, m.delay_range) = (0, (1, 12));
            });
        }
        Fault::Server(s, on, off, ms) => {
            l.wish(s, &on);
            after(l, ms, move |l| l.wish(s, &off));
        }
        Fault::Trap(s) => c.lock().trap = Some(s),
        Fault::Leave(s, ms) => {
            l.leave(s, true);
            let p = l.servers[s].pid;
            // Another comes in its place, under its own name; the old one may be back as well.
            l.core.restart(l.spares[s / l.shape.replicas].pid);
            after(l, 8_000, move |l| l.core.crash(p, false));
            after(l, 8_000 + ms, move |l| {
                l.core.restart(p);
                l.leave(s, false);
            });
        }
    }
}

impl Laid {
    pub fn wish(&self, s: usize, w: &Wish) {
        let srv = &self.servers[s];
        if w.reset == Some(true) {
            self.core.lock().reset_connections(srv.pid);
        }
        let live = srv.live.lock().unwrap().clone().filter(|_| self.core.lock().processes[srv.pid].up);
        if let Some(s) = live {
            self.core.run_in(srv.pid, || s.faults.wish(w));
        }
    }
    pub fn leave(&self, s: usize, leaves: bool) {
        let srv = &self.servers[s];
        if let Some(s) = srv.live.lock().unwrap().clone() {
            let st = if leaves { ServerState::Draining } else { ServerState::Up };
            self.core.run_in(srv.pid, || *s.state.lock().unwrap() = (st, quincehatch_runtime::now()));
        }
    }
    /// All that is broken is made whole; from here the bound of the BRIEF counts.
    pub fn heal_all(&self) {
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
            self.core.restart(p);
        }
        let off = Wish {
            stall: Some(false),
            slow_ms: Some(0),
            lag_ms: Some(0),
            deaf: Some(false),
            lose_answers: Some(0),
            ..Default::default()
        };
        for s in 0..self.servers.len() {
            self.wish(s, &off);
            self.leave(s, false);
        }
    }
}
