//! Every figure of the simulated control plane in one place: shapes, terms, and which faults are drawn.
use quincehatch_core::Millis;

/// How many machines with a disk there are, how many of them vote, and how many may be lost at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Machines that vote.
    pub voters: usize,
    /// Machines with a disk.
    pub machines: usize,
    /// Machines that may be lost at once.
    pub tolerated: usize,
}

/// Shapes that seeds choose among in turn.
pub const SHAPES: [Shape; 3] = [
    Shape { voters: 3, machines: 3, tolerated: 1 },
    Shape { voters: 3, machines: 4, tolerated: 1 },
    Shape { voters: 5, machines: 8, tolerated: 2 },
];

/// What the present code is known not to withstand; none of it is drawn unless it is allowed here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowed {
    /// A machine may come back with its disk at another address.
    pub moved_machines: bool,
}

impl Allowed {
    /// Everything is allowed.
    pub const ALL: Allowed = Allowed { moved_machines: true };

    /// Reads a list such as `moved-machines`; `all` stands for every one.
    pub fn parse(list: &str) -> Result<Allowed, String> {
        let mut allowed = Allowed::default();
        for word in list.split(',').filter(|word| !word.is_empty()) {
            match word {
                "all" => allowed = Allowed::ALL,
                "moved-machines" => allowed.moved_machines = true,
                other => return Err(format!("--allow: {other:?} is unknown")),
            }
        }
        Ok(allowed)
    }
}

/// The figures of a run.
#[derive(Clone, Debug)]
pub struct Parameters {
    /// How many machines there are.
    pub shape: Shape,
    /// A machine that is stopped in order has so long to leave the chain, as the platform's has.
    pub leave_timeout: Millis,
    /// A machine counts as lost for so long after its return, or after its successor's start.
    pub catch_up_time: Millis,
    /// The core is settled once nothing has troubled it for so long.
    pub settle_time: Millis,
    /// A settled core acknowledges a proper order within this time.
    pub acknowledge_within: Millis,
    /// A node that holds a lease has an acknowledged document in force after so long.
    pub apply_within: Millis,
    /// The operators' list of seeds lags behind the machines by so much.
    pub seed_lag: Millis,
    /// A removed machine's successor starts so long after it.
    pub successor_delay: Millis,
    /// Faults that are drawn though the product is known not to withstand them.
    pub allowed: Allowed,
    /// Faults may overlap beyond what is tolerated, as long as no more disks are lost.
    pub draws_overlaps: bool,
    /// Faults begin at this time.
    pub faults_from: Millis,
    /// No new fault comes after that.
    pub faults_until: Millis,
    /// Mean time between two faults.
    pub mean_fault_gap: Millis,
    /// Time for healing before the last read.
    pub healing_time: Millis,
    /// Number of operators.
    pub operators: usize,
    /// Number of readers.
    pub readers: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Orders one operator may have under way at once.
    pub submissions_in_flight: usize,
    /// Longest pause between two orders of one operator.
    pub max_submission_pause: Millis,
}

const LEAVE_TIMEOUT: Millis = 4_500;
/// Every so many seeds of a shape, one is a storm of changes; the others have few.
const STORM_EVERY: u64 = 8;
/// Every so many seeds of a shape, one draws faults that overlap beyond what is tolerated.
const OVERLAPS_EVERY: u64 = 2;

impl Parameters {
    /// The parameters of a seed.
    pub fn for_seed(seed: u64, allowed: Allowed) -> Parameters {
        let shape = SHAPES[(seed % SHAPES.len() as u64) as usize];
        let catch_up = if shape.tolerated > 1 { 6_000 } else { 4_000 };
        let storm = (seed / SHAPES.len() as u64).is_multiple_of(STORM_EVERY);
        Parameters {
            shape,
            allowed,
            draws_overlaps: (seed / SHAPES.len() as u64) % OVERLAPS_EVERY == 1,
            leave_timeout: LEAVE_TIMEOUT,
            catch_up_time: catch_up,
            settle_time: 4_000,
            acknowledge_within: 5_000,
            apply_within: 3_000,
            seed_lag: 3_000,
            successor_delay: 1_000,
            faults_from: 6_000,
            faults_until: 36_000,
            mean_fault_gap: 2_500,
            healing_time: 12_000,
            operators: 2 + (seed % 2) as usize,
            readers: 2,
            nodes: 2,
            submissions_in_flight: if storm { 6 } else { 2 },
            max_submission_pause: if storm { 400 } else { 1_800 },
        }
    }
}
