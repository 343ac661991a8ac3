//! The parameters of a simulated control plane: its shape, its time limits, and which faults are drawn.
use quincehatch_core::Millis;

/// The size of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// Number of machines that vote.
    pub voters: usize,
    /// Number of machines with a disk, voters included.
    pub machines: usize,
    /// Number of machines that may be lost at once.
    pub tolerated: usize,
}

/// The shapes, which successive seeds use in turn.
pub const SHAPES: [Shape; 3] = [
    Shape { voters: 3, machines: 3, tolerated: 1 },
    Shape { voters: 3, machines: 4, tolerated: 1 },
    Shape { voters: 5, machines: 8, tolerated: 2 },
];

/// Faults that the product is known not to tolerate; each is drawn only if it is allowed here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allowed {
    /// A machine may restart with its disk at another address.
    pub moved_machines: bool,
}

impl Allowed {
    /// Allows all of them.
    pub const ALL: Allowed = Allowed { moved_machines: true };

    /// Parses a comma-separated list such as `moved-machines`; `all` stands for all of them.
    pub fn parse(list: &str) -> Result<Allowed, String> {
        let mut allowed = Allowed::default();
        for item in list.split(',').filter(|item| !item.is_empty()) {
            match item {
                "all" => allowed = Allowed::ALL,
                "moved-machines" => allowed.moved_machines = true,
                other => return Err(format!("--allow: {other:?} is unknown")),
            }
        }
        Ok(allowed)
    }
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct Parameters {
    /// The size of the core.
    pub shape: Shape,
    /// Deadline for a machine that is shut down gracefully to leave the chain; the platform's is the same.
    pub leave_timeout: Millis,
    /// Time for which a machine still counts as lost after its recovery, or after its successor's start.
    pub catch_up_time: Millis,
    /// The core is settled once it had no disturbance for this time.
    pub settle_time: Millis,
    /// Time within which a settled core must acknowledge an uncontested submission.
    pub acknowledge_within: Millis,
    /// Time within which a node with a valid lease must have an acknowledged document in force.
    pub apply_within: Millis,
    /// Delay with which the operators' list of seeds follows a change of machines.
    pub seed_lag: Millis,
    /// Time from the removal of a machine to the start of its successor.
    pub successor_delay: Millis,
    /// Additional faults, which the product is known not to tolerate.
    pub allowed: Allowed,
    /// Whether faults may overlap beyond what is tolerated; no more disks are lost at once than tolerated even then.
    pub draws_overlaps: bool,
    /// Time of the first fault at the earliest.
    pub faults_from: Millis,
    /// Time after which no new fault begins.
    pub faults_until: Millis,
    /// Mean gap between two faults, for those gaps that are not drawn to be short.
    pub mean_fault_gap: Millis,
    /// Time between the end of the faults and the last read.
    pub healing_time: Millis,
    /// Number of operators.
    pub operators: usize,
    /// Number of readers.
    pub readers: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of submissions that one operator has in flight.
    pub submissions_in_flight: usize,
    /// Longest pause between two submissions of one operator task.
    pub max_submission_pause: Millis,
}

const LEAVE_TIMEOUT: Millis = 4_500;
/// One in this many seeds of a shape has a high rate of submissions; the others have a low one.
const HIGH_LOAD_EVERY: u64 = 8;
/// One in this many seeds of a shape draws faults that overlap beyond what is tolerated.
const OVERLAPS_EVERY: u64 = 2;

impl Parameters {
    /// Returns the parameters of a seed.
    pub fn for_seed(seed: u64, allowed: Allowed) -> Parameters {
        let shape = SHAPES[(seed % SHAPES.len() as u64) as usize];
        let catch_up = if shape.tolerated > 1 { 6_000 } else { 4_000 };
        let high_load = (seed / SHAPES.len() as u64).is_multiple_of(HIGH_LOAD_EVERY);
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
            submissions_in_flight: if high_load { 6 } else { 2 },
            max_submission_pause: if high_load { 400 } else { 1_800 },
        }
    }
}
