//! Virtual time, processes and their tasks (§9.1): one thread, everything in the order of one queue.
use super::net::{Links, Net};
use quincehatch_core::Millis;
use quincehatch_runtime::rng::Rng;
use quincehatch_runtime::seam::{self, BoxFuture, World};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::Waker;

pub type Pid = usize;
pub type Act = Box<dyn FnOnce(&Arc<Core>) + Send>;

/// What is to happen at a time.
pub enum Ev {
    Wake(Waker),
    Resume(Pid),
    /// Something on its way between two processes, and when it was sent.
    Net {
        from: Pid,
        to: Pid,
        sent: Millis,
        n: Net,
    },
    Do(Act),
}

/// How a process is started; kept, so that it can be started again.
pub type Start = Arc<dyn Fn(&Arc<Core>, Pid) + Send + Sync>;

pub struct Host {
    pub name: String,
    pub up: bool,
    /// The whole machine is off: nobody is there even to decline.
    pub dark: bool,
    pub life: u64,
    pub paused_until: Millis,
    /// Local milliseconds in 100 000 of the true time's, and where the local clock began.
    pub rate: u64,
    pub base: Millis,
    pub start: Start,
    pub(super) parked: Vec<u64>,
}

pub(super) struct Task {
    pub(super) host: Pid,
    pub(super) life: u64,
    pub(super) fut: Option<BoxFuture<'static, ()>>,
    pub(super) queued: bool,
}

pub struct Inner {
    pub now: Millis,
    pub(super) seq: u64,
    pub(super) q: BTreeMap<(Millis, u64), Ev>,
    pub(super) timers: BTreeMap<u64, Millis>,
    pub(super) tasks: BTreeMap<u64, Task>,
    pub(super) ready: VecDeque<u64>,
    pub(super) graves: Vec<(Pid, BoxFuture<'static, ()>)>,
    /// What may do something when it is dropped, and so must not be while the lock is held.
    pub trash: Vec<Box<dyn std::any::Any + Send>>,
    pub hosts: Vec<Host>,
    pub rng: Rng,
    pub cuts: BTreeSet<(Pid, Pid)>,
    pub loss_pm: u64,
    pub dup_pm: u64,
    pub delay: (Millis, Millis),
    pub links: Links,
    pub sent: u64,
    pub trace: u64,
    /// Keepers may die in the midst of a step.
    pub faulty: bool,
    /// Whoever comes to such a point next stands still for so long, or dies.
    pub snare: Option<Snare>,
    pub snared: Millis,
}

/// A trap for a process at a point of its work.
#[derive(Clone, Debug)]
pub struct Snare {
    pub point: String,
    pub pause: Option<Millis>,
}

pub struct Core {
    m: Mutex<Inner>,
    pub bug: Option<String>,
    pub tell: bool,
}

impl Inner {
    pub fn at(&mut self, when: Millis, e: Ev) -> u64 {
        self.seq += 1;
        self.q.insert((when.max(self.now), self.seq), e);
        self.seq
    }
    pub fn local(&self, p: Pid) -> Millis {
        let h = &self.hosts[p];
        h.base + self.now * h.rate / 100_000
    }
    pub(super) fn mark(&mut self, a: u64, b: u64) {
        let x = self.trace ^ a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.rotate_left(32);
        self.trace = (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) ^ self.now;
    }
}

impl Core {
    pub fn new(seed: u64, bug: Option<&str>, tell: bool) -> Arc<Core> {
        let m = Mutex::new(Inner {
            now: 0,
            seq: 0,
            q: BTreeMap::new(),
            timers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            ready: VecDeque::new(),
            graves: Vec::new(),
            trash: Vec::new(),
            hosts: Vec::new(),
            rng: Rng::new(seed),
            cuts: BTreeSet::new(),
            loss_pm: 0,
            dup_pm: 5,
            delay: (1, 12),
            links: Links::default(),
            sent: 0,
            trace: seed,
            faulty: false,
            snare: None,
            snared: 0,
        });
        Arc::new(Core { m, bug: bug.map(str::to_owned), tell })
    }
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.m.lock().unwrap()
    }
    pub fn now(&self) -> Millis {
        self.lock().now
    }
    pub fn say(&self, s: &str) {
        if self.tell {
            println!("{:>6} {s}", self.now());
        }
    }
    pub fn has_bug(&self, b: &str) -> bool {
        self.bug.as_deref() == Some(b)
    }
    pub fn later(&self, when: Millis, f: impl FnOnce(&Arc<Core>) + Send + 'static) {
        self.lock().at(when, Ev::Do(Box::new(f)));
    }

    /// A process, which is started at once.
    pub fn add(self: &Arc<Self>, name: &str, start: Start, steady: bool) -> Pid {
        let pid = {
            let mut m = self.lock();
            let (rate, base) = match steady {
                true => (100_000, 0),
                false => (100_000 - 900 + m.rng.below(1_801), m.rng.below(1_000_000)),
            };
            let (name, up, dark, life, paused_until, parked) = (name.to_owned(), true, false, 1, 0, vec![]);
            m.hosts.push(Host {
                name,
                up,
                dark,
                life,
                paused_until,
                rate,
                base,
                start: start.clone(),
                parked,
            });
            m.hosts.len() - 1
        };
        self.within(pid, || start(self, pid));
        pid
    }
    pub fn world(self: &Arc<Self>, pid: Pid) -> Arc<dyn World> {
        let life = self.lock().hosts[pid].life;
        Arc::new(super::host::HostWorld { core: self.clone(), pid, life })
    }
    pub fn within<T>(self: &Arc<Self>, pid: Pid, f: impl FnOnce() -> T) -> T {
        seam::with_world(self.world(pid), f)
    }
}
