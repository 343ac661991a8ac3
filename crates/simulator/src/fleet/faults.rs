//! Faults of a simulated fleet, drawn from the seed.
use super::fault_injection::inject;
use super::setup::SimulatedFleet;
use super::simulation::{ProcessId, Trap};
use quincehatch_core::Millis;
use quincehatch_testbed::stand_in::faults::FaultSettings;
use std::sync::Arc;

/// Shortest duration of a fault.
pub(super) const MIN_FAULT_TIME: Millis = 200;
/// Range of the random time that is added to [`MIN_FAULT_TIME`].
pub(super) const FAULT_TIME_SPREAD: Millis = 6_500;
/// Time by which a split lasts longer than other faults.
const EXTRA_SPLIT_TIME: Millis = 2_500;
/// Shortest time between two faults.
const MIN_FAULT_GAP: Millis = 300;
/// Range of the random time that is added to [`MIN_FAULT_GAP`].
const FAULT_GAP_SPREAD: Millis = 3_500;
/// Smallest share of packets that a lossy network loses.
const MIN_LOSS_PER_MILLE: u64 = 20;
/// Range of the random share that is added to [`MIN_LOSS_PER_MILLE`].
const LOSS_SPREAD: u64 = 150;
/// Additional time of each statement at a slowed server.
const SLOW_MS: u64 = 300;
/// Additional replication delay of a lagging replica.
const LAG_MS: u64 = 900;
/// Number of replies that a server loses in one fault.
const LOST_REPLIES: u64 = 5;

/// A fault and its duration.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A process crashes.
    Crash(ProcessId, Millis),
    /// The machine of a process loses power, so that its connections are not closed.
    PowerOff(ProcessId, Millis),
    /// A process is suspended.
    Pause(ProcessId, Millis),
    /// Messages from one process to another are lost.
    Partition {
        /// The sender.
        from: ProcessId,
        /// The receiver.
        to: ProcessId,
        /// Whether messages in the other direction are lost too.
        both_ways: bool,
        /// The duration.
        time: Millis,
    },
    /// A process is partitioned from all others.
    Isolate {
        /// The process.
        pid: ProcessId,
        /// Whether the process still receives, and only what it sends is lost.
        one_way: bool,
        /// The duration.
        time: Millis,
    },
    /// Some processes are partitioned from the rest; callers and the platform reach both sides.
    Split {
        /// The processes of one side.
        part: Vec<ProcessId>,
        /// Whether this side still receives, and only what it sends is lost.
        one_way: bool,
        /// The duration.
        time: Millis,
    },
    /// The whole network loses a share of all packets.
    PacketLoss {
        /// Lost packets in a thousand.
        per_mille: u64,
        /// The duration.
        time: Millis,
    },
    /// A fault inside a server.
    Server {
        /// Index of the server.
        server: usize,
        /// The settings that begin the fault.
        begin: FaultSettings,
        /// The settings that end the fault.
        end: FaultSettings,
        /// The duration.
        time: Millis,
    },
    /// A server announces that it is draining, stops, and restarts later.
    Drain {
        /// Index of the server.
        server: usize,
        /// The downtime.
        time: Millis,
    },
    /// The next process that reaches a trace point is suspended or crashes there.
    Trap(Trap),
}

/// Returns fault settings with only the fields that `set` assigns.
pub fn fault_settings(set: impl FnOnce(&mut FaultSettings)) -> FaultSettings {
    let mut settings = FaultSettings::default();
    set(&mut settings);
    settings
}

/// Returns a server fault whose setting is a flag.
fn flag_fault(server: usize, time: Millis, set: fn(&mut FaultSettings, bool)) -> Fault {
    let begin = fault_settings(|settings| set(settings, true));
    let end = fault_settings(|settings| set(settings, false));
    Fault::Server { server, begin, end, time }
}

/// Returns a server fault whose setting is a number, which 0 ends.
fn numeric_fault(server: usize, time: Millis, size: u64, set: fn(&mut FaultSettings, u64)) -> Fault {
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
        68..78 => flag_fault(server, time, |settings, enabled| settings.stall = Some(enabled)),
        78..82 => flag_fault(server, time, |settings, enabled| settings.deaf = Some(enabled)),
        82..85 => numeric_fault(server, time, SLOW_MS, |settings, size| settings.slow_ms = Some(size)),
        85..88 => numeric_fault(server, time, LAG_MS, |settings, size| settings.lag_ms = Some(size)),
        88..92 => {
            numeric_fault(server, time, LOST_REPLIES, |settings, size| settings.lose_answers = Some(size))
        }
        92..96 => {
            let begin = fault_settings(|settings| settings.reset = Some(true));
            Fault::Server { server, begin, end: FaultSettings::default(), time }
        }
        _ => Fault::Drain { server, time },
    }
}

/// Schedules random faults for the fault period; some of them overlap.
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
