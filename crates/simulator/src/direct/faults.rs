//! Faults of a fleet on direct connections, drawn from the seed.
use super::schedule::RandomGaps;
use super::setup::{DirectFleet, SERVERS};
use crate::fleet::simulation::ProcessId;
use quincehatch_core::Millis;
use std::sync::Arc;

/// Shortest duration of a fault, and the range of the random addition to it.
const MIN_FAULT_TIME: Millis = 200;
const FAULT_TIME_SPREAD: Millis = 6_500;
/// Additional durations of faults that cut several processes off.
const EXTRA_SPLIT_TIME: Millis = 2_500;
const EXTRA_ISOLATION_TIME: Millis = 5_000;
/// Shortest time between the starts of two faults, and the range of the random addition to it.
const MIN_FAULT_GAP: Millis = 300;
const FAULT_GAP_SPREAD: Millis = 4_000;
/// Smallest share of packets that a lossy network loses, and the range of the random addition to it.
const MIN_LOSS_PER_MILLE: u64 = 20;
const LOSS_SPREAD: u64 = 150;
/// Shortest time between the crashes of two primaries, and the range of the random addition to it.
const MIN_CRASH_GAP: Millis = 100;
const CRASH_GAP_SPREAD: Millis = 2_500;
/// Sum of the weights of all kinds of faults.
const FAULT_WEIGHTS: u64 = 126;

/// A fault of a replica that coincides with the crash of its primary.
#[derive(Clone, Copy, Debug)]
pub enum ReplicaFault {
    ReplicationStopped,
    PowerLoss,
    Crash,
    Pause,
}

const REPLICA_FAULTS: [ReplicaFault; 4] =
    [ReplicaFault::ReplicationStopped, ReplicaFault::PowerLoss, ReplicaFault::Crash, ReplicaFault::Pause];

/// A fault. `server` and `node` are indexes.
#[derive(Clone, Debug)]
pub enum Fault {
    Crash {
        pid: ProcessId,
        power_loss: bool,
        time: Millis,
    },
    Pause {
        pid: ProcessId,
        time: Millis,
    },
    Partition {
        from: ProcessId,
        to: ProcessId,
        both_ways: bool,
        time: Millis,
    },
    /// A process is cut off from all others. If `one_way` is true, only the messages that it sends are lost.
    Isolate {
        pid: ProcessId,
        one_way: bool,
        time: Millis,
    },
    /// Some processes are cut off from the rest. If `one_way` is true, only the messages that they send are lost.
    Split {
        part: Vec<ProcessId>,
        one_way: bool,
        time: Millis,
    },
    /// A node and the primary are cut off from all others.
    IsolatePrimaryWithNode {
        node: usize,
        time: Millis,
    },
    /// Of all nodes and keepers, only one node reaches the primary and one replica. The primary is slowed as well.
    PrimaryAndReplicaReachOneNode {
        node: usize,
        time: Millis,
    },
    /// All keepers crash at the same time.
    AllKeepersCrash {
        time: Millis,
    },
    /// The whole network loses this share of packets.
    PacketLoss {
        per_mille: u64,
        time: Millis,
    },
    ReplicationStopped {
        server: usize,
        time: Millis,
    },
    Lag {
        server: usize,
        time: Millis,
    },
    Slow {
        server: usize,
        time: Millis,
    },
    LoseReplies {
        server: usize,
        count: u32,
    },
    /// The primary crashes, and at the same time a fault affects the replica whose index is that of the primary plus
    /// `replica_offset`.
    PrimaryAndReplica {
        power_loss: bool,
        replica_offset: usize,
        replica_fault: ReplicaFault,
        time: Millis,
    },
    /// The primary crashes, and `gap` later the server that is primary by then crashes too.
    TwoPrimaries {
        gap: Millis,
        time: Millis,
    },
    Drain {
        server: usize,
    },
    /// The next process that reaches this trace point of a promotion is suspended for the given time, or crashes if no
    /// time is given.
    Trap {
        phase: &'static str,
        pause: Option<Millis>,
    },
    /// An operator requests a planned hand-over of the primary role.
    RequestHandover,
}

/// Trace points of a promotion at which the promoting node is suspended or crashes.
const PROMOTION_PHASES: &[&str] =
    &["is begun", "is closing", "is fencing", "chose", "is promoting", "is naming"];

impl DirectFleet {
    /// Returns the processes of all keepers, nodes and servers.
    pub(super) fn faultable_processes(&self) -> Vec<ProcessId> {
        let mut all = self.keepers.clone();
        all.extend(self.nodes.iter().map(|node| node.pid));
        self.group.with(|state| {
            let present = state.servers.iter().filter(|server| !server.is_absent);
            all.extend(present.map(|server| server.pid));
        });
        all
    }

    /// Returns the processes of all keepers, nodes and servers, and that of the promoter.
    pub(super) fn partitionable_processes(&self) -> Vec<ProcessId> {
        let mut all = self.faultable_processes();
        all.push(self.group.with(|state| state.promoter));
        all
    }

    /// Draws one fault. The order of the draws must not change, because seeds would then give other runs.
    fn draw_fault(&self) -> Fault {
        let faultable = self.faultable_processes();
        let partitionable = self.partitionable_processes();
        let nodes = self.nodes.len() as u64;
        let mut state = self.simulation.lock();
        let rng = &mut state.rng;
        let pid = *rng.pick(&faultable).unwrap_or(&0);
        let other = *rng.pick(&partitionable).unwrap_or(&0);
        let server = rng.below(SERVERS as u64) as usize;
        let time = MIN_FAULT_TIME + rng.below(FAULT_TIME_SPREAD);
        let coin = rng.chance(500);
        match rng.below(FAULT_WEIGHTS) {
            0..16 => Fault::Crash { pid, power_loss: rng.chance(400), time },
            16..28 => Fault::Pause { pid, time },
            28..42 => Fault::Partition { from: pid, to: other, both_ways: coin, time },
            42..48 => Fault::Isolate { pid, one_way: coin, time },
            48..51 => Fault::AllKeepersCrash { time: time / 2 },
            51..56 => Fault::PacketLoss { per_mille: MIN_LOSS_PER_MILLE + rng.below(LOSS_SPREAD), time },
            56..61 => Fault::ReplicationStopped { server, time },
            61..66 => Fault::Lag { server, time },
            66..70 => Fault::Slow { server, time },
            70..77 => Fault::LoseReplies { server, count: 1 + rng.below(6) as u32 },
            77..86 => {
                let drawn = rng.below(REPLICA_FAULTS.len() as u64) as usize;
                let (replica_fault, replica_offset) = (REPLICA_FAULTS[drawn], 1 + drawn % 2);
                Fault::PrimaryAndReplica { power_loss: coin, replica_offset, replica_fault, time }
            }
            86..91 => Fault::TwoPrimaries { gap: MIN_CRASH_GAP + rng.below(CRASH_GAP_SPREAD), time },
            91..95 => Fault::RequestHandover,
            95..100 => Fault::Drain { server },
            100..106 => {
                let part = partitionable.iter().copied().filter(|_| rng.chance(300)).collect();
                Fault::Split { part, one_way: rng.chance(300), time: time + EXTRA_SPLIT_TIME }
            }
            106..111 => {
                let node = rng.below(nodes) as usize;
                Fault::IsolatePrimaryWithNode { node, time: time + EXTRA_ISOLATION_TIME }
            }
            111..116 => {
                let node = rng.below(nodes) as usize;
                Fault::PrimaryAndReplicaReachOneNode { node, time: time + EXTRA_SPLIT_TIME }
            }
            _ => {
                let phase = rng.pick(PROMOTION_PHASES).copied().unwrap_or("chose");
                Fault::Trap { phase, pause: coin.then_some(time) }
            }
        }
    }

    /// Schedules random faults from `from` on for `period`. Faults can overlap.
    pub fn schedule_faults(self: &Arc<Self>, from: Millis, period: Millis) {
        let gaps = RandomGaps { shortest: MIN_FAULT_GAP, spread: FAULT_GAP_SPREAD };
        self.schedule_repeatedly(from, period, gaps, |fleet| {
            let fault = fleet.draw_fault();
            fleet.inject(fault);
        });
    }
}
