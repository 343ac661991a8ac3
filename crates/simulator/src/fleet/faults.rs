//! Faults of a simulated fleet, drawn from the seed.
use super::setup::SimulatedFleet;
use super::simulation::{ProcessId, Trap};
use quincehatch_core::{Millis, ServerState};
use quincehatch_runtime::now;
use quincehatch_testbed::stand_in::faults::FaultSettings;
use std::sync::Arc;

/// Shortest fault, and how much longer one may be.
pub(super) const MIN_FAULT_TIME: Millis = 200;
pub(super) const FAULT_TIME_SPREAD: Millis = 6_500;
/// A split lasts this much longer than other faults.
const EXTRA_SPLIT_TIME: Millis = 2_500;
/// Least time between two faults, and how much more it may be.
const MIN_FAULT_GAP: Millis = 300;
const FAULT_GAP_SPREAD: Millis = 3_500;
/// Least share of packets that a lossy network loses, and how much more it may be.
const MIN_LOSS_PER_MILLE: u64 = 20;
const LOSS_SPREAD: u64 = 150;
/// A draining server goes on for so long, as the server contract has it.
const DRAIN_TIME: Millis = 8_000;
/// What a slowed server's statements take longer, and what a lagging replica's log arrives later.
const SLOW_MS: u64 = 300;
const LAG_MS: u64 = 900;
/// Replies that a server loses in one fault.
const LOST_REPLIES: u64 = 5;

/// A fault and how long it lasts.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A process crashes.
    Crash(ProcessId, Millis),
    /// The machine of a process loses power: its connections are not closed.
    PowerOff(ProcessId, Millis),
    /// A process is suspended.
    Pause(ProcessId, Millis),
    /// One process does not reach another.
    Partition {
        /// Sender that is cut off.
        from: ProcessId,
        /// Receiver that it does not reach.
        to: ProcessId,
        /// Neither reaches the other.
        both_ways: bool,
        /// How long.
        time: Millis,
    },
    /// A process is cut off from all others; `one_way`: only what it sends is lost.
    Isolate {
        /// The process.
        pid: ProcessId,
        /// It still receives.
        one_way: bool,
        /// How long.
        time: Millis,
    },
    /// Some are cut off from the rest, though callers reach all; `one_way`: only what they send is lost.
    Split {
        /// The smaller part.
        part: Vec<ProcessId>,
        /// The part still receives.
        one_way: bool,
        /// How long.
        time: Millis,
    },
    /// The whole network loses this share of packets.
    PacketLoss {
        /// Lost packets in a thousand.
        per_mille: u64,
        /// How long.
        time: Millis,
    },
    /// Something inside a server.
    Server {
        /// Index of the server.
        server: usize,
        /// What begins the fault.
        begin: FaultSettings,
        /// What ends it.
        end: FaultSettings,
        /// How long.
        time: Millis,
    },
    /// A server announces that it drains, stops, and is back after this time.
    Drain {
        /// Index of the server.
        server: usize,
        /// How long it is down.
        time: Millis,
    },
    /// The next process that reaches a trace point is stopped there.
    Trap(Trap),
}

/// Settings with some fields set.
pub fn fault_settings(set: impl FnOnce(&mut FaultSettings)) -> FaultSettings {
    let mut settings = FaultSettings::default();
    set(&mut settings);
    settings
}

/// A fault inside a server that is switched on and off.
fn switched(server: usize, time: Millis, set: fn(&mut FaultSettings, bool)) -> Fault {
    let begin = fault_settings(|settings| set(settings, true));
    let end = fault_settings(|settings| set(settings, false));
    Fault::Server { server, begin, end, time }
}

/// A fault inside a server that has a size, which 0 ends.
fn sized(server: usize, time: Millis, size: u64, set: fn(&mut FaultSettings, u64)) -> Fault {
    let begin = fault_settings(|settings| set(settings, size));
    let end = fault_settings(|settings| set(settings, 0));
    Fault::Server { server, begin, end, time }
}

/// Draws one fault. The order of draws is part of what a seed means.
pub fn draw_fault(fleet: &SimulatedFleet) -> Fault {
    let mut state = fleet.simulation.lock();
    let all = fleet.faultable_processes();
    let rng = &mut state.rng;
    let pid = *rng.pick(&all).unwrap_or(&0);
    let other = *rng.pick(&all).unwrap_or(&0);
    let server = rng.below(fleet.servers.len() as u64) as usize;
    let time = MIN_FAULT_TIME + rng.below(FAULT_TIME_SPREAD);
    match rng.below(100) {
        0..20 => Fault::Crash(pid, time),
        20..28 => Fault::PowerOff(pid, time),
        28..42 => Fault::Pause(pid, time),
        42..47 => Fault::Partition { from: pid, to: other, both_ways: rng.chance(500), time },
        47..56 => {
            let part = all.iter().copied().filter(|_| rng.chance(300)).collect();
            Fault::Split { part, one_way: rng.chance(300), time: time + EXTRA_SPLIT_TIME }
        }
        56..62 => Fault::Isolate { pid, one_way: rng.chance(400), time },
        62..68 => Fault::PacketLoss { per_mille: MIN_LOSS_PER_MILLE + rng.below(LOSS_SPREAD), time },
        68..78 => switched(server, time, |settings, enabled| settings.stall = Some(enabled)),
        78..82 => switched(server, time, |settings, enabled| settings.deaf = Some(enabled)),
        82..85 => sized(server, time, SLOW_MS, |settings, size| settings.slow_ms = Some(size)),
        85..88 => sized(server, time, LAG_MS, |settings, size| settings.lag_ms = Some(size)),
        88..92 => sized(server, time, LOST_REPLIES, |settings, size| settings.lose_answers = Some(size)),
        92..96 => {
            let begin = fault_settings(|settings| settings.reset = Some(true));
            Fault::Server { server, begin, end: FaultSettings::default(), time }
        }
        _ => Fault::Drain { server, time },
    }
}

/// Draws faults for a stretch of time; some overlap.
pub fn schedule_faults(
    fleet: &Arc<SimulatedFleet>,
    from: Millis,
    period: Millis,
    draw: fn(&SimulatedFleet) -> Fault,
) {
    let mut at = from;
    loop {
        at += MIN_FAULT_GAP + fleet.simulation.lock().rng.below(FAULT_GAP_SPREAD);
        if at >= from + period {
            return;
        }
        let shared = fleet.clone();
        fleet.simulation.schedule_action(at, move |_| {
            let fault = draw(&shared);
            inject(&shared, fault);
        });
    }
}

fn schedule_after(
    fleet: &Arc<SimulatedFleet>,
    time: Millis,
    act: impl FnOnce(&Arc<SimulatedFleet>) + Send + 'static,
) {
    let shared = fleet.clone();
    let at = fleet.simulation.now() + time;
    fleet.simulation.schedule_action(at, move |_| act(&shared));
}

/// Begins a fault and schedules its end.
pub fn inject(fleet: &Arc<SimulatedFleet>, fault: Fault) {
    let simulation = &fleet.simulation;
    simulation.log(&format!("fault {fault:?}"));
    simulation.lock().crashes_enabled = true;
    match fault {
        Fault::Crash(pid, time) => fleet.crash_for(pid, false, time),
        Fault::PowerOff(pid, time) => fleet.crash_for(pid, true, time),
        Fault::Pause(pid, time) => simulation.suspend(pid, time),
        Fault::Partition { from, to, both_ways, time } => {
            fleet.partition_for(vec![(from, to)], both_ways, time);
        }
        Fault::Isolate { pid, one_way, time } => {
            let count = simulation.lock().processes.len();
            let pairs = (0..count).filter(|other| *other != pid).map(|other| (pid, other)).collect();
            fleet.partition_for(pairs, !one_way, time);
        }
        Fault::Split { part, one_way, time } => {
            let rest: Vec<ProcessId> =
                (0..fleet.platform_process).filter(|other| !part.contains(other)).collect();
            let pairs = part.iter().flat_map(|pid| rest.iter().map(|other| (*pid, *other))).collect();
            fleet.partition_for(pairs, !one_way, time);
        }
        Fault::PacketLoss { per_mille, time } => {
            simulation.lock().degrade_network(per_mille);
            schedule_after(fleet, time, |fleet| fleet.simulation.lock().restore_network());
        }
        Fault::Server { server, begin, end, time } => {
            fleet.set_server_fault(server, &begin);
            schedule_after(fleet, time, move |fleet| fleet.set_server_fault(server, &end));
        }
        Fault::Trap(trap) => simulation.lock().trap = Some(trap),
        Fault::Drain { server, time } => fleet.drain_and_replace(server, time),
    }
}

impl SimulatedFleet {
    /// Keepers, nodes and servers, without spares.
    fn faultable_processes(&self) -> Vec<ProcessId> {
        let servers = self.servers.iter().map(|server| server.pid);
        self.keepers.iter().chain(&self.nodes).copied().chain(servers).collect()
    }

    fn crash_for(self: &Arc<Self>, pid: ProcessId, power_loss: bool, time: Millis) {
        self.simulation.crash(pid, power_loss);
        schedule_after(self, time, move |fleet| fleet.simulation.restart(pid));
    }

    fn partition_for(self: &Arc<Self>, pairs: Vec<(ProcessId, ProcessId)>, both_ways: bool, time: Millis) {
        for (from, to) in &pairs {
            self.simulation.partition(*from, *to, both_ways);
        }
        schedule_after(self, time, move |fleet| {
            for (from, to) in pairs {
                fleet.simulation.heal_partition(from, to);
            }
        });
    }

    /// A server drains and stops; its group's spare takes its place under a name of its own. The old one is back
    /// later all the same.
    fn drain_and_replace(self: &Arc<Self>, server: usize, time: Millis) {
        self.set_draining(server, true);
        let pid = self.servers[server].pid;
        self.simulation.restart(self.spares[server / self.shape.replicas].pid);
        schedule_after(self, DRAIN_TIME, move |fleet| fleet.simulation.crash(pid, false));
        schedule_after(self, DRAIN_TIME + time, move |fleet| {
            fleet.simulation.restart(pid);
            fleet.set_draining(server, false);
        });
    }

    /// Changes what goes wrong inside a server, if it is up.
    pub fn set_server_fault(&self, server: usize, settings: &FaultSettings) {
        let server = &self.servers[server];
        if settings.reset == Some(true) {
            self.simulation.lock().reset_connections(server.pid);
        }
        let running = server.running();
        let is_up = self.simulation.lock().processes[server.pid].is_up;
        if let Some(stand_in) = running.filter(|_| is_up) {
            self.simulation.run_in(server.pid, || stand_in.faults.apply(settings));
        }
    }

    /// Lets a server announce that it drains, or that it does not.
    pub fn set_draining(&self, server: usize, draining: bool) {
        let server = &self.servers[server];
        let Some(stand_in) = server.running() else { return };
        let announced = if draining { ServerState::Draining } else { ServerState::Up };
        self.simulation.run_in(server.pid, || *stand_in.state.lock().unwrap() = (announced, now()));
    }

    /// Ends all faults; from here the bound on recovery counts.
    pub fn heal_all(&self) {
        self.simulation.log("all is healed");
        self.simulation.lock().clear_faults();
        let count = self.simulation.lock().processes.len();
        for pid in 0..count {
            self.simulation.suspend(pid, 0);
            self.simulation.restart(pid);
        }
        let no_fault = FaultSettings {
            stall: Some(false),
            slow_ms: Some(0),
            lag_ms: Some(0),
            deaf: Some(false),
            lose_answers: Some(0),
            ..Default::default()
        };
        for server in 0..self.servers.len() {
            self.set_server_fault(server, &no_fault);
            self.set_draining(server, false);
        }
    }
}
