//! Virtual time, processes and their tasks (§9.1): one thread, everything in the order of one queue.
use super::network::{Message, Network};
use quincehatch_core::Millis;
use quincehatch_runtime::rng::Rng;
use quincehatch_runtime::seam::{self, BoxFuture, World};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Waker;

pub type ProcessId = usize;
pub type Action = Box<dyn FnOnce(&Arc<Simulation>) + Send>;

/// What is to happen at a time.
pub enum Event {
    Wake(Waker),
    Resume(ProcessId),
    /// Something on its way between two processes, and when it was sent.
    Message {
        from: ProcessId,
        to: ProcessId,
        sent: Millis,
        n: Message,
    },
    Run(Action),
}

/// How a process is started; kept, so that it can be started again.
pub type StartProcess = Arc<dyn Fn(&Arc<Simulation>, ProcessId) + Send + Sync>;

pub struct Process {
    pub name: String,
    pub up: bool,
    /// The whole machine is off: nobody is there even to decline.
    pub powered_off: bool,
    pub incarnation: u64,
    pub paused_until: Millis,
    /// Local milliseconds in 100 000 of the true time's, and where the local clock began.
    pub clock_rate: u64,
    pub clock_offset: Millis,
    pub start: StartProcess,
    pub(super) suspended_tasks: Vec<u64>,
}

pub(super) struct Task {
    pub(super) process: ProcessId,
    pub(super) incarnation: u64,
    pub(super) future: Option<BoxFuture<'static, ()>>,
    pub(super) queued: bool,
}

pub struct SimulationState {
    pub now: Millis,
    pub(super) next_sequence: u64,
    pub(super) events: BTreeMap<(Millis, u64), Event>,
    pub(super) timers: BTreeMap<u64, Millis>,
    pub(super) tasks: BTreeMap<u64, Task>,
    pub(super) ready_tasks: VecDeque<u64>,
    pub(super) dead_tasks: Vec<(ProcessId, BoxFuture<'static, ()>)>,
    /// What may do something when it is dropped, and so must not be while the lock is held.
    pub deferred_drops: Vec<Box<dyn std::any::Any + Send>>,
    pub processes: Vec<Process>,
    pub rng: Rng,
    pub partitions: BTreeSet<(ProcessId, ProcessId)>,
    pub loss_per_mille: u64,
    pub duplicate_per_mille: u64,
    pub delay_range: (Millis, Millis),
    pub network: Network,
    pub messages_sent: u64,
    pub trace: u64,
    /// Keepers may die in the midst of a step.
    pub crashes_enabled: bool,
    /// Whoever comes to such a point next stands still for so long, or dies.
    pub trap: Option<Trap>,
    pub trap_sprung_at: Millis,
}

/// A trap for a process at a point of its work.
#[derive(Clone, Debug)]
pub struct Trap {
    pub trace_point: String,
    pub pause: Option<Millis>,
}

pub struct Simulation {
    state: Mutex<SimulationState>,
    pub bug: Option<String>,
    pub verbose: bool,
}

impl SimulationState {
    pub fn schedule(&mut self, when: Millis, e: Event) -> u64 {
        self.next_sequence += 1;
        self.events.insert((when.max(self.now), self.next_sequence), e);
        self.next_sequence
    }
    pub fn local_time(&self, p: ProcessId) -> Millis {
        let h = &self.processes[p];
        h.clock_offset + self.now * h.clock_rate / 100_000
    }
    pub(super) fn extend_trace(&mut self, a: u64, b: u64) {
        let x = self.trace ^ a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.rotate_left(32);
        self.trace = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ self.now;
    }
}

impl Simulation {
    pub fn new(seed: u64, bug: Option<&str>, tell: bool) -> Arc<Simulation> {
        let m = Mutex::new(SimulationState {
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
            duplicate_per_mille: 5,
            delay_range: (1, 12),
            network: Network::default(),
            messages_sent: 0,
            trace: seed,
            crashes_enabled: false,
            trap: None,
            trap_sprung_at: 0,
        });
        Arc::new(Simulation { state: m, bug: bug.map(str::to_owned), verbose: tell })
    }
    pub fn lock(&self) -> MutexGuard<'_, SimulationState> {
        self.state.lock().unwrap()
    }
    pub fn now(&self) -> Millis {
        self.lock().now
    }
    pub fn log(&self, s: &str) {
        if self.verbose {
            println!("{:>6} {s}", self.now());
        }
    }
    pub fn has_bug(&self, b: &str) -> bool {
        self.bug.as_deref() == Some(b)
    }
    pub fn schedule_action(&self, when: Millis, f: impl FnOnce(&Arc<Simulation>) + Send + 'static) {
        self.lock().schedule(when, Event::Run(Box::new(f)));
    }

    /// A process, which is started at once.
    pub fn add_process(self: &Arc<Self>, name: &str, start: StartProcess, steady: bool) -> ProcessId {
        let pid = {
            let mut m = self.lock();
            let (rate, base) = match steady {
                true => (100_000, 0),
                false => (100_000 - 900 + m.rng.below(1_801), m.rng.below(1_000_000)),
            };
            let (name, up, dark, life, paused_until, parked) = (name.to_owned(), true, false, 1, 0, vec![]);
            m.processes.push(Process {
                name,
                up,
                powered_off: dark,
                incarnation: life,
                paused_until,
                clock_rate: rate,
                clock_offset: base,
                start: start.clone(),
                suspended_tasks: parked,
            });
            m.processes.len() - 1
        };
        self.run_in(pid, || start(self, pid));
        pid
    }
    pub fn world(self: &Arc<Self>, pid: ProcessId) -> Arc<dyn World> {
        let life = self.lock().processes[pid].incarnation;
        Arc::new(super::process_world::ProcessWorld { core: self.clone(), pid, incarnation: life })
    }
    pub fn run_in<T>(self: &Arc<Self>, pid: ProcessId, f: impl FnOnce() -> T) -> T {
        seam::with_world(self.world(pid), f)
    }
}
