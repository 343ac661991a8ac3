//! The faults of a run of the control plane, drawn from its seed.
use super::cluster::Cluster;
use quincehatch_core::Millis;

/// A fault and its times. The fault of a single machine strikes the machine that is drawn with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The machine is removed for good; an empty successor starts at another address.
    Replace,
    /// An empty successor starts first; the old machine is shut down gracefully after this time.
    PlannedReplace {
        after: Millis,
    },
    /// The disk is wiped; the machine restarts empty at the same address.
    WipeDisk {
        downtime: Millis,
    },
    /// The machine is partitioned from the rest of the core, and with `all` from all other processes too. With
    /// `one_way` only what it sends is lost.
    Isolate {
        all: bool,
        one_way: bool,
        time: Millis,
    },
    /// The core is partitioned into two random parts.
    Split {
        time: Millis,
    },
    Suspend {
        time: Millis,
    },
    Kill {
        downtime: Millis,
    },
    /// As `Kill`, but records that were not synced are always lost.
    PowerLoss {
        downtime: Millis,
    },
    /// The machine restarts with its disk at another address.
    ChangeAddress {
        downtime: Millis,
    },
    SlowSteps {
        step: Millis,
        time: Millis,
    },
    SlowDisk {
        sync_ms: Millis,
        time: Millis,
    },
    StalledDisk {
        time: Millis,
    },
    FullDisk {
        time: Millis,
    },
    LoseReplies {
        time: Millis,
    },
    /// The list of seeds changes to other machines, and every process receives it.
    ChangeSeeds,
    /// The machine with the oldest disk is replaced as by `Replace`, or its disk is wiped as by `WipeDisk`.
    LoseOldestDisk {
        replaced: bool,
        downtime: Millis,
    },
    /// The core is partitioned into two halves, whichever machines are lost already.
    Bisect {
        time: Millis,
    },
    /// A minority is partitioned and becomes stale; then as many of the others lose their disks, the rest lose power,
    /// and the partition heals.
    WipeWhileMinorityIsStale {
        stale_time: Millis,
        downtime: Millis,
    },
    /// A minority lose their disks, and all other machines lose power at the same moment.
    WipeAndPowerOff {
        downtime: Millis,
    },
    /// All machines are killed, or lose power, at once.
    KillAll {
        power_loss: bool,
        downtime: Millis,
    },
}

/// How a fault draws on the budget of lost machines, and so when it may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultCost {
    /// The fault strikes one machine, which counts as lost.
    Machine,
    /// The fault strikes one machine, which counts as lost once its shutdown begins.
    Planned,
    /// The fault makes no machine count as lost, and may begin at any time.
    None,
    /// The fault strikes all machines, and begins only while none is lost.
    All,
}

impl Fault {
    pub fn cost(self) -> FaultCost {
        match self {
            Fault::LoseReplies { .. } | Fault::ChangeSeeds | Fault::Bisect { .. } => FaultCost::None,
            Fault::PlannedReplace { .. } => FaultCost::Planned,
            Fault::KillAll { .. }
            | Fault::Split { .. }
            | Fault::WipeWhileMinorityIsStale { .. }
            | Fault::WipeAndPowerOff { .. } => FaultCost::All,
            _ => FaultCost::Machine,
        }
    }
}

/// Longest duration of a partition, suspension, disk stall or downtime, without the constant least one.
const MAX_PARTITION: Millis = 20_000;
const MAX_SUSPENSION: Millis = 8_000;
const MAX_DISK_STALL: Millis = 6_000;
const MAX_DOWNTIME: Millis = 3_000;
/// Share of faults that overlap beyond what is tolerated, in runs that draw them.
const OVERLAP_PER_MILLE: u64 = 400;

/// Draws one fault. The order of draws is part of what a seed means.
pub fn draw_fault(cluster: &Cluster) -> Fault {
    let mut simulation = cluster.simulation.lock();
    let rng = &mut simulation.rng;
    let downtime = 100 + rng.below(MAX_DOWNTIME);
    if cluster.parameters.draws_overlaps && rng.chance(OVERLAP_PER_MILLE) {
        return match rng.below(5) {
            0 => Fault::LoseOldestDisk { replaced: rng.chance(500), downtime },
            1 | 2 => Fault::Bisect { time: 200 + rng.below(MAX_SUSPENSION) },
            3 => Fault::WipeWhileMinorityIsStale { stale_time: 300 + rng.below(MAX_DISK_STALL), downtime },
            _ => Fault::WipeAndPowerOff { downtime },
        };
    }
    match rng.below(100) {
        0..16 => Fault::Replace,
        16..24 => Fault::PlannedReplace { after: 500 + rng.below(6_000) },
        24..32 => Fault::WipeDisk { downtime },
        32..46 => {
            let (all, one_way) = (rng.chance(400), rng.chance(350));
            Fault::Isolate { all, one_way, time: 200 + rng.below(MAX_PARTITION) }
        }
        46..53 => Fault::Suspend { time: 200 + rng.below(MAX_SUSPENSION) },
        53..61 => Fault::Kill { downtime },
        61..68 => Fault::PowerLoss { downtime },
        68..72 if cluster.parameters.allowed.moved_machines => Fault::ChangeAddress { downtime },
        68..76 => Fault::SlowSteps { step: 10 + rng.below(90), time: 500 + rng.below(6_000) },
        76..80 => Fault::SlowDisk { sync_ms: 20 + rng.below(200), time: 500 + rng.below(6_000) },
        80..87 => Fault::StalledDisk { time: 300 + rng.below(MAX_DISK_STALL) },
        87..90 => Fault::FullDisk { time: 500 + rng.below(8_000) },
        90..93 => Fault::LoseReplies { time: 500 + rng.below(4_000) },
        93..95 => Fault::ChangeSeeds,
        95..97 => Fault::Split { time: 200 + rng.below(MAX_PARTITION) },
        _ => Fault::KillAll { power_loss: rng.chance(500), downtime },
    }
}

/// Draws the gap before the next fault. Half of the gaps are short, so that the fault begins as soon as it is allowed.
pub fn draw_gap(cluster: &Cluster) -> Millis {
    let mut simulation = cluster.simulation.lock();
    let rng = &mut simulation.rng;
    if rng.chance(500) { rng.below(300) } else { rng.below(2 * cluster.parameters.mean_fault_gap) }
}
