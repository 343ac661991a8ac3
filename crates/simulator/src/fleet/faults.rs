//! What goes wrong in a simulated fleet, drawn from the seed (§9.1).
use super::setup::SimulatedFleet;
use super::simulation::{ProcessId, Trap};
use quincehatch_core::{Millis, ServerState};
use quincehatch_testbed::stand_in::faults::FaultSettings;
use std::sync::Arc;

#[derive(Clone, Debug)]
pub enum Fault {
    Crash(ProcessId, Millis),
    /// The machine goes off without a word: its links are not closed.
    PowerOff(ProcessId, Millis),
    Pause(ProcessId, Millis),
    /// From the first to the second, for so long; both ways when the flag is up.
    Partition(ProcessId, ProcessId, bool, Millis),
    /// Cut off from everyone; with the flag only what it sends is lost.
    Isolate(ProcessId, bool, Millis),
    /// Some are cut off from the rest, though callers reach all; with the flag only what they send is lost.
    Split(Vec<ProcessId>, bool, Millis),
    PacketLoss(u64, Millis),
    /// Something inside a server, and its end after so long.
    Server(usize, FaultSettings, FaultSettings, Millis),
    /// A server says that it leaves, goes, and is back.
    Drain(usize, Millis),
    /// Whoever promotes next is stopped at a point of it.
    Trap(Trap),
}

pub fn fault_settings(f: impl FnOnce(&mut FaultSettings)) -> FaultSettings {
    let mut w = FaultSettings::default();
    f(&mut w);
    w
}

/// Draws one fault.
pub fn draw_fault(l: &SimulatedFleet) -> Fault {
    let mut m = l.core.lock();
    let all: Vec<ProcessId> =
        l.keepers.iter().chain(&l.nodes).copied().chain(l.servers.iter().map(|s| s.pid)).collect();
    let r = &mut m.rng;
    let p = *r.pick(&all).unwrap_or(&0);
    let q = *r.pick(&all).unwrap_or(&0);
    let s = r.below(l.servers.len() as u64) as usize;
    let ms = 200 + r.below(6_500);
    let off =
        |f: fn(&mut FaultSettings, bool)| (fault_settings(|w| f(w, true)), fault_settings(|w| f(w, false)));
    match r.below(100) {
        0..20 => Fault::Crash(p, ms),
        20..28 => Fault::PowerOff(p, ms),
        28..42 => Fault::Pause(p, ms),
        42..47 => Fault::Partition(p, q, r.chance(500), ms),
        47..56 => {
            let some = all.iter().copied().filter(|_| r.chance(300)).collect();
            Fault::Split(some, r.chance(300), ms + 2_500)
        }
        56..62 => Fault::Isolate(p, r.chance(400), ms),
        62..68 => Fault::PacketLoss(20 + r.below(150), ms),
        68..78 => {
            let (a, b) = off(|w, on| w.stall = Some(on));
            Fault::Server(s, a, b, ms)
        }
        78..82 => {
            let (a, b) = off(|w, on| w.deaf = Some(on));
            Fault::Server(s, a, b, ms)
        }
        82..85 => Fault::Server(
            s,
            fault_settings(|w| w.slow_ms = Some(300)),
            fault_settings(|w| w.slow_ms = Some(0)),
            ms,
        ),
        85..88 => Fault::Server(
            s,
            fault_settings(|w| w.lag_ms = Some(900)),
            fault_settings(|w| w.lag_ms = Some(0)),
            ms,
        ),
        88..92 => Fault::Server(
            s,
            fault_settings(|w| w.lose_answers = Some(5)),
            fault_settings(|w| w.lose_answers = Some(0)),
            ms,
        ),
        92..96 => Fault::Server(s, fault_settings(|w| w.reset = Some(true)), FaultSettings::default(), ms),
        _ => Fault::Drain(s, ms),
    }
}

/// Draws faults for a stretch of time; some run side by side.
pub fn schedule_faults(
    l: &Arc<SimulatedFleet>,
    from: Millis,
    len: Millis,
    draw: fn(&SimulatedFleet) -> Fault,
) {
    let mut t = from;
    loop {
        t += 300 + l.core.lock().rng.below(3_500);
        if t >= from + len {
            return;
        }
        let x = l.clone();
        l.core.schedule_action(t, move |_| {
            let f = draw(&x);
            inject(&x, f);
        });
    }
}

fn schedule_after(
    l: &Arc<SimulatedFleet>,
    ms: Millis,
    f: impl FnOnce(&Arc<SimulatedFleet>) + Send + 'static,
) {
    let (x, at) = (l.clone(), l.core.now() + ms);
    l.core.schedule_action(at, move |_| f(&x));
}

pub fn inject(l: &Arc<SimulatedFleet>, f: Fault) {
    let c = &l.core;
    c.log(&format!("fault {f:?}"));
    c.lock().crashes_enabled = true;
    match f {
        Fault::Crash(p, ms) => {
            c.crash(p, false);
            schedule_after(l, ms, move |l| l.core.restart(p));
        }
        Fault::PowerOff(p, ms) => {
            c.crash(p, true);
            schedule_after(l, ms, move |l| l.core.restart(p));
        }
        Fault::Pause(p, ms) => c.suspend(p, ms),
        Fault::Partition(p, q, both, ms) => {
            c.partition(p, q, both);
            schedule_after(l, ms, move |l| l.core.heal_partition(p, q));
        }
        Fault::Isolate(p, one_way, ms) => {
            let n = c.lock().processes.len();
            (0..n).filter(|q| *q != p).for_each(|q| c.partition(p, q, !one_way));
            schedule_after(l, ms, move |l| (0..n).for_each(|q| l.core.heal_partition(p, q)));
        }
        Fault::Split(some, one_way, ms) => {
            let n = l.platform_process;
            let pairs: Vec<(ProcessId, ProcessId)> =
                some.iter().flat_map(|p| (0..n).filter(|q| !some.contains(q)).map(|q| (*p, q))).collect();
            pairs.iter().for_each(|(p, q)| c.partition(*p, *q, !one_way));
            schedule_after(l, ms, move |l| pairs.iter().for_each(|(p, q)| l.core.heal_partition(*p, *q)));
        }
        Fault::PacketLoss(pm, ms) => {
            {
                let mut m = c.lock();
                (m.loss_per_mille, m.delay_range) = (pm, (1, 80));
            }
            schedule_after(l, ms, |l| {
                let mut m = l.core.lock();
                (m.loss_per_mille, m.delay_range) = (0, (1, 12));
            });
        }
        Fault::Server(s, on, off, ms) => {
            l.set_server_fault(s, &on);
            schedule_after(l, ms, move |l| l.set_server_fault(s, &off));
        }
        Fault::Trap(s) => c.lock().trap = Some(s),
        Fault::Drain(s, ms) => {
            l.set_draining(s, true);
            let p = l.servers[s].pid;
            // Another comes in its place, under its own name; the old one may be back as well.
            l.core.restart(l.spares[s / l.shape.replicas].pid);
            schedule_after(l, 8_000, move |l| l.core.crash(p, false));
            schedule_after(l, 8_000 + ms, move |l| {
                l.core.restart(p);
                l.set_draining(s, false);
            });
        }
    }
}

impl SimulatedFleet {
    pub fn set_server_fault(&self, s: usize, w: &FaultSettings) {
        let srv = &self.servers[s];
        if w.reset == Some(true) {
            self.core.lock().reset_connections(srv.pid);
        }
        let live = srv.stand_in.lock().unwrap().clone().filter(|_| self.core.lock().processes[srv.pid].up);
        if let Some(s) = live {
            self.core.run_in(srv.pid, || s.faults.apply(w));
        }
    }
    pub fn set_draining(&self, s: usize, leaves: bool) {
        let srv = &self.servers[s];
        if let Some(s) = srv.stand_in.lock().unwrap().clone() {
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
            self.core.suspend(p, 0);
            self.core.restart(p);
        }
        let off = FaultSettings {
            stall: Some(false),
            slow_ms: Some(0),
            lag_ms: Some(0),
            deaf: Some(false),
            lose_answers: Some(0),
            ..Default::default()
        };
        for s in 0..self.servers.len() {
            self.set_server_fault(s, &off);
            self.set_draining(s, false);
        }
    }
}
