//! The state of a simulation: virtual time, processes with their tasks, and one queue of events.
//!
//! Everything runs on one thread, in the order of the queue; all randomness comes from one generator. A seed therefore
//! replays exactly.
use super::network::{Envelope, Network};
use super::process_world::ProcessWorld;
pub use super::trap::Trap;
use quincehatch_core::Millis;
use quincehatch_runtime::rng::Rng;
use quincehatch_runtime::seam::{self, BoxFuture, World};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Waker;

/// Index of a process in the order of its addition.
pub type ProcessId = usize;

/// Code that is run on the simulation at a scheduled time.
pub type Action = Box<dyn FnOnce(&Arc<Simulation>) + Send>;

/// Starts a process, at first and after each crash.
pub type StartProcess = Arc<dyn Fn(&Arc<Simulation>, ProcessId) + Send + Sync>;

/// Rate of a clock without drift: its local milliseconds in [`CLOCK_RATE_UNIT`] true ones.
pub const STEADY_CLOCK_RATE: u64 = CLOCK_RATE_UNIT;
/// Unit of clock rates.
pub const CLOCK_RATE_UNIT: u64 = 100_000;
/// Largest difference between the rate of a drifting clock and [`STEADY_CLOCK_RATE`].
const MAX_CLOCK_DRIFT: u64 = 900;
/// Upper limit of the initial reading of a drifting clock.
pub(super) const MAX_CLOCK_OFFSET: Millis = 1_000_000;
/// Delay of a message one way while the network is healthy, least and most.
pub const HEALTHY_DELAY: (Millis, Millis) = (1, 12);
/// Share of peer messages that are duplicated.
const DUPLICATES_PER_MILLE: u64 = 5;

/// A scheduled event.
pub enum Event {
    /// The timer of a task expires.
    Wake(Waker),
    /// A suspension of a process ends, unless a later one is in effect.
    Resume(ProcessId),
    /// A message arrives at its destination.
    Message(Envelope),
    /// An action of the run itself.
    Run(Action),
}

/// A simulated process.
pub struct Process {
    /// The process's name in the log.
    pub name: String,
    /// False while the process is crashed.
    pub is_up: bool,
    /// Whether the machine is without power, so that it does not even reset or refuse connections.
    pub powered_off: bool,
    /// Incremented at each start.
    pub incarnation: u64,
    /// Time before which the process runs no task, because it is suspended.
    pub paused_until: Millis,
    /// Local milliseconds in [`CLOCK_RATE_UNIT`] true ones.
    pub clock_rate: u64,
    /// The reading of the local clock at true time 0.
    pub clock_offset: Millis,
    /// Starts the process again.
    pub start: StartProcess,
    pub(super) suspended_tasks: Vec<u64>,
}

/// A task of a process.
pub(super) struct Task {
    pub(super) process: ProcessId,
    pub(super) incarnation: u64,
    /// `None` while the task is polled.
    pub(super) future: Option<BoxFuture<'static, ()>>,
    pub(super) queued: bool,
}

/// The mutable state of a simulation.
pub struct SimulationState {
    /// True time since the start.
    pub now: Millis,
    pub(super) next_sequence: u64,
    /// Events by time and, within a time, in the order of their scheduling.
    pub(super) events: BTreeMap<(Millis, u64), Event>,
    /// The expiry of each timer, by the sequence number of its event.
    pub(super) timers: BTreeMap<u64, Millis>,
    pub(super) tasks: BTreeMap<u64, Task>,
    pub(super) ready_tasks: VecDeque<u64>,
    /// Futures that are to be dropped in the context of their process.
    pub(super) dead_tasks: Vec<(ProcessId, BoxFuture<'static, ()>)>,
    /// Values whose drop may call back into the simulation, and so must not happen under its lock.
    pub deferred_drops: Vec<Box<dyn std::any::Any + Send>>,
    /// All processes by id.
    pub processes: Vec<Process>,
    /// The only source of randomness.
    pub rng: Rng,
    /// Pairs of sender and receiver whose messages do not arrive.
    pub partitions: BTreeSet<(ProcessId, ProcessId)>,
    /// Share of transmissions that are lost.
    pub loss_per_mille: u64,
    pub(super) duplicate_per_mille: u64,
    /// Delay of a message one way, least and most.
    pub delay_range: (Millis, Millis),
    /// Listeners and connections.
    pub network: Network,
    /// Messages handed to the network so far.
    pub messages_sent: u64,
    /// Hash of all steps; it is the same in every run of a seed.
    pub trace: u64,
    /// Whether keepers may crash in the middle of a step.
    pub crashes_enabled: bool,
    /// The trap for the next process that reaches its trace point.
    pub trap: Option<Trap>,
    /// When the last trap stopped a process, or when a planned later fault takes place.
    pub trap_sprung_at: Millis,
}

/// A simulation, shared by all its parts.
pub struct Simulation {
    state: Mutex<SimulationState>,
    /// Name of the injected bug.
    bug: Option<String>,
    /// Whether events are printed.
    pub verbose: bool,
}

impl SimulationState {
    fn new(seed: u64) -> SimulationState {
        SimulationState {
            now: 0,
            next_sequence: 0,
            events: BTreeMap::new(),
            timers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            ready_tasks: VecDeque::new(),
            dead_tasks: Vec::new(),
            deferred_drops: Vec::new(),
            processes: Vec::new(),
            rng: Rng::new(seed),
            partitions: BTreeSet::new(),
            loss_per_mille: 0,
            duplicate_per_mille: DUPLICATES_PER_MILLE,
            delay_range: HEALTHY_DELAY,
            network: Network::default(),
            messages_sent: 0,
            trace: seed,
            crashes_enabled: false,
            trap: None,
            trap_sprung_at: 0,
        }
    }

    /// Schedules an event, at the present time at the earliest; returns its sequence number.
    pub fn schedule(&mut self, when: Millis, event: Event) -> u64 {
        self.next_sequence += 1;
        self.events.insert((when.max(self.now), self.next_sequence), event);
        self.next_sequence
    }

    /// Returns the reading of a process's clock.
    pub fn local_time(&self, pid: ProcessId) -> Millis {
        let process = &self.processes[pid];
        process.clock_offset + self.now * process.clock_rate / CLOCK_RATE_UNIT
    }

    /// Whether the process is up and not suspended.
    pub fn is_running(&self, pid: ProcessId) -> bool {
        self.processes[pid].is_up && self.processes[pid].paused_until <= self.now
    }

    /// Mixes a step into the trace (multipliers and shift of SplitMix64).
    pub(super) fn extend_trace(&mut self, task: u64, process: u64) {
        let mixed = self.trace ^ task.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ process.rotate_left(32);
        self.trace = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ self.now;
    }
}

impl Simulation {
    /// Returns a simulation without processes.
    pub fn new(seed: u64, bug: Option<&str>, verbose: bool) -> Arc<Simulation> {
        let state = Mutex::new(SimulationState::new(seed));
        Arc::new(Simulation { state, bug: bug.map(str::to_owned), verbose })
    }

    /// Locks the state. The lock must not be held while code of a process runs.
    pub fn lock(&self) -> MutexGuard<'_, SimulationState> {
        self.state.lock().unwrap()
    }

    /// Returns the true time.
    pub fn now(&self) -> Millis {
        self.lock().now
    }

    /// Prints a line of a verbose run.
    pub fn log(&self, line: &str) {
        if self.verbose {
            println!("{:>6} {line}", self.now());
        }
    }

    /// Whether this bug is injected.
    pub fn has_bug(&self, bug: &str) -> bool {
        self.bug.as_deref() == Some(bug)
    }

    /// Schedules an action.
    pub fn schedule_action(&self, when: Millis, action: impl FnOnce(&Arc<Simulation>) + Send + 'static) {
        self.lock().schedule(when, Event::Run(Box::new(action)));
    }

    /// Adds a process and starts it immediately; its clock drifts unless `steady` is set.
    pub fn add_process(self: &Arc<Self>, name: &str, start: StartProcess, steady: bool) -> ProcessId {
        let pid = {
            let mut state = self.lock();
            let (clock_rate, clock_offset) = if steady {
                (STEADY_CLOCK_RATE, 0)
            } else {
                let rate = STEADY_CLOCK_RATE - MAX_CLOCK_DRIFT + state.rng.below(2 * MAX_CLOCK_DRIFT + 1);
                (rate, state.rng.below(MAX_CLOCK_OFFSET))
            };
            state.processes.push(Process {
                name: name.to_owned(),
                is_up: true,
                powered_off: false,
                incarnation: 1,
                paused_until: 0,
                clock_rate,
                clock_offset,
                start: start.clone(),
                suspended_tasks: Vec::new(),
            });
            state.processes.len() - 1
        };
        self.run_in(pid, || start(self, pid));
        pid
    }

    /// Returns the runtime environment of the present incarnation of a process.
    pub fn world(self: &Arc<Self>, pid: ProcessId) -> Arc<dyn World> {
        let incarnation = self.lock().processes[pid].incarnation;
        Arc::new(ProcessWorld { simulation: self.clone(), pid, incarnation })
    }

    /// Runs code in the context of a process.
    pub fn run_in<T>(self: &Arc<Self>, pid: ProcessId, code: impl FnOnce() -> T) -> T {
        seam::with_world(self.world(pid), code)
    }
}
