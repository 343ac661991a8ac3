//! Faults of a fleet on direct connections, drawn from the seed.
use super::setup::{DirectFleet, SERVERS};
use crate::fleet::simulation::ProcessId;
use quincehatch_core::Millis;
use std::sync::Arc;

/// Shortest fault, and how much longer one may be.
const MIN_FAULT_TIME: Millis = 200;
const FAULT_TIME_SPREAD: Millis = 6_500;
/// Partitions of several processes last this much longer than other faults.
const EXTRA_SPLIT_TIME: Millis = 2_500;
const EXTRA_ISOLATION_TIME: Millis = 5_000;
/// Least time between two faults, and how much more it may be.
const MIN_FAULT_GAP: Millis = 300;
const FAULT_GAP_SPREAD: Millis = 4_000;
/// Least share of packets that a lossy network loses, and how much more it may be.
const MIN_LOSS_PER_MILLE: u64 = 20;
const LOSS_SPREAD: u64 = 150;
/// Least time between the crashes of two primaries, and how much more it may be.
const MIN_CRASH_GAP: Millis = 100;
const CRASH_GAP_SPREAD: Millis = 2_500;
/// Sum of the weights of all faults.
const FAULT_WEIGHTS: u64 = 126;

/// What happens to a replica while its primary crashes.
#[derive(Clone, Copy, Debug)]
pub enum ReplicaFault {
    ReplicationStopped,
    PowerLoss,
    Crash,
    Pause,
}

const REPLICA_FAULTS: [ReplicaFault; 4] =
    [ReplicaFault::ReplicationStopped, ReplicaFault::PowerLoss, ReplicaFault::Crash, ReplicaFault::Pause];

/// A fault; servers and nodes are given by index.
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
    /// Cut off from all others; `one_way`: only what it sends is lost.
    Isolate {
        pid: ProcessId,
        one_way: bool,
        time: Millis,
    },
    /// Some are cut off from the rest; `one_way`: only what they send is lost.
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
    /// The primary, slowed, and a replica are reached by one node only.
    PrimaryAndReplicaReachOneNode {
        node: usize,
        time: Millis,
    },
    /// Every keeper crashes in the same moment.
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
    /// The primary crashes while something happens to the replica that many places behind it.
    PrimaryAndReplica {
        power_loss: bool,
        replica_offset: usize,
        replica_fault: ReplicaFault,
        time: Millis,
    },
    /// Two primaries crash one shortly after the other.
    TwoPrimaries {
        gap: Millis,
        time: Millis,
    },
    Drain {
        server: usize,
    },
    /// The next process that reaches this point of a promotion is suspended for so long, or crashes.
    Trap {
        phase: &'static str,
        pause: Option<Millis>,
    },
    /// An operator asks for a hand-over.
    RequestHandover,
}

/// Trace points of a promotion at which the promoting node is stopped.
const PROMOTION_PHASES: &[&str] =
    &["is begun", "is closing", "is fencing", "chose", "is promoting", "is naming"];

impl DirectFleet {
    /// Keepers, nodes and servers.
    pub(super) fn faultable_processes(&self) -> Vec<ProcessId> {
        let mut all = self.keepers.clone();
        all.extend(self.nodes.iter().map(|node| node.pid));
        self.group.with(|state| all.extend(state.servers.iter().map(|server| server.pid)));
        all
    }

    /// The same, and the promoter.
    pub(super) fn partitionable_processes(&self) -> Vec<ProcessId> {
        let mut all = self.faultable_processes();
        all.push(self.group.with(|state| state.promoter));
        all
    }

    /// Draws one fault. The order of draws is part of what a seed means.
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

    /// Draws faults for a stretch of time; some overlap.
    pub fn schedule_faults(self: &Arc<Self>, from: Millis, period: Millis) {
        let mut at = from;
        loop {
            at += MIN_FAULT_GAP + self.simulation.lock().rng.below(FAULT_GAP_SPREAD);
            if at >= from + period {
                return;
            }
            let fleet = self.clone();
            self.simulation.schedule_action(at, move |_| {
                let fault = fleet.draw_fault();
                fleet.inject(fault);
            });
        }
    }
}
