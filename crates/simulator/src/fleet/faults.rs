//! Faults of a simulated fleet, drawn from the seed.
use super::fault_injection::inject;
use super::setup::SimulatedFleet;
use super::simulation::{ProcessId, Trap};
use quincehatch_core::Millis;
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
