//! The faults of a run, drawn from its seed.
use super::cluster::Cluster;
use quincehatch_core::Millis;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The machine goes for good; an empty one comes at another address.
    Replace,
    /// An empty machine comes first, then the old one is stopped in order.
    PlannedReplace {
        after: Millis,
    },
    /// The disk is lost; an empty machine comes back at the same address.
    WipeDisk {
        down: Millis,
    },
    /// Cut off from the rest of the core, and from all others too if `all`; only what it sends is lost if `one_way`.
    Isolate {
        all: bool,
        one_way: bool,
        time: Millis,
    },
    /// The core is cut in two, at random.
    Split {
        time: Millis,
    },
    Suspend {
        time: Millis,
    },
    Kill {
        down: Millis,
    },
    /// As a kill, but what was not synced is lost.
    PowerLoss {
        down: Millis,
    },
    /// Restarted with its disk at another address.
    ChangeAddress {
        down: Millis,
    },
    SlowSteps {
        step: Millis,
        time: Millis,
    },
    SlowDisk {
        sync: Millis,
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
    /// The list of seeds names other machines, and every process is told.
    ChangeSeeds,
    /// The machine whose disk has lasted longest goes for good, or comes back empty; an empty one comes.
    LoseOldestDisk {
        replaced: bool,
        down: Millis,
    },
    /// The core is cut into halves, whatever is lost already.
    Halves {
        time: Millis,
    },
    /// A minority misses changes; then others lose their disks, the rest are dark, and the cut heals.
    LeaveBehind {
        missed: Millis,
        dark: Millis,
    },
    /// Some lose their disks, and all others lose power in the same moment.
    WipeAndPowerOff {
        dark: Millis,
    },
    /// Every core process is killed, or loses power, at once.
    KillAll {
        power: bool,
        down: Millis,
    },
}

/// Whether a fault makes a machine count as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultCost {
    /// It strikes one machine, which counts as lost.
    Machine,
    /// It strikes one machine, which counts as lost once it is stopped.
    Planned,
    /// It counts for nothing.
    None,
    /// It strikes all, and comes only while none is lost.
    All,
}

impl Fault {
    pub fn cost(self) -> FaultCost {
        match self {
            Fault::LoseReplies { .. } | Fault::ChangeSeeds | Fault::Halves { .. } => FaultCost::None,
            Fault::PlannedReplace { .. } => FaultCost::Planned,
            Fault::KillAll { .. }
            | Fault::Split { .. }
            | Fault::LeaveBehind { .. }
            | Fault::WipeAndPowerOff { .. } => FaultCost::All,
            _ => FaultCost::Machine,
        }
    }
}

/// Longest cut, freeze or stalled disk.
const MAX_PARTITION: Millis = 20_000;
const MAX_SUSPENSION: Millis = 8_000;
const MAX_DISK_STALL: Millis = 6_000;
const MAX_DOWNTIME: Millis = 3_000;
/// Share of the faults that overlap beyond what is tolerated, in runs that draw these.
const OVERLAP_PER_MILLE: u64 = 400;

pub fn draw_fault(cluster: &Cluster) -> Fault {
    let mut core = cluster.core.lock();
    let rng = &mut core.rng;
    let down = 100 + rng.below(MAX_DOWNTIME);
    if cluster.parameters.draws_overlaps && rng.chance(OVERLAP_PER_MILLE) {
        return match rng.below(5) {
            0 => Fault::LoseOldestDisk { replaced: rng.chance(500), down },
            1 | 2 => Fault::Halves { time: 200 + rng.below(MAX_SUSPENSION) },
            3 => Fault::LeaveBehind { missed: 300 + rng.below(MAX_DISK_STALL), dark: down },
            _ => Fault::WipeAndPowerOff { dark: down },
        };
    }
    match rng.below(100) {
        0..16 => Fault::Replace,
        16..24 => Fault::PlannedReplace { after: 500 + rng.below(6_000) },
        24..32 => Fault::WipeDisk { down },
        32..46 => {
            let (all, one_way) = (rng.chance(400), rng.chance(350));
            Fault::Isolate { all, one_way, time: 200 + rng.below(MAX_PARTITION) }
        }
        46..53 => Fault::Suspend { time: 200 + rng.below(MAX_SUSPENSION) },
        53..61 => Fault::Kill { down },
        61..68 => Fault::PowerLoss { down },
        68..72 if cluster.parameters.allowed.moved_machines => Fault::ChangeAddress { down },
        68..76 => Fault::SlowSteps { step: 10 + rng.below(90), time: 500 + rng.below(6_000) },
        76..80 => Fault::SlowDisk { sync: 20 + rng.below(200), time: 500 + rng.below(6_000) },
        80..87 => Fault::StalledDisk { time: 300 + rng.below(MAX_DISK_STALL) },
        87..90 => Fault::FullDisk { time: 500 + rng.below(8_000) },
        90..93 => Fault::LoseReplies { time: 500 + rng.below(4_000) },
        93..95 => Fault::ChangeSeeds,
        95..97 => Fault::Split { time: 200 + rng.below(MAX_PARTITION) },
        _ => Fault::KillAll { power: rng.chance(500), down },
    }
}

/// Waits until the next fault: often none, so that it comes as soon as it may.
pub fn draw_gap(cluster: &Cluster) -> Millis {
    let mut core = cluster.core.lock();
    let rng = &mut core.rng;
    if rng.chance(500) { rng.below(300) } else { rng.below(2 * cluster.parameters.mean_fault_gap) }
}
