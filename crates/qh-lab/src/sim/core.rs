//! Virtual time, processes and their tasks (§9.1): one thread, everything in the order of one queue.
use super::net::{Links, Net};
use qh_core::Ms;
use qh_core::rng::Rng;
use qh_core::rt::{self, Fut, World};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, Weak};
use std::task::{Context, Wake, Waker};

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
        sent: Ms,
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
    pub paused_until: Ms,
    /// Local milliseconds in 100 000 of the true time's, and where the local clock began.
    pub rate: u64,
    pub base: Ms,
    pub start: Start,
    parked: Vec<u64>,
}

struct Task {
    host: Pid,
    life: u64,
    fut: Option<Fut<'static, ()>>,
    queued: bool,
}

pub struct Inner {
    pub now: Ms,
    seq: u64,
    q: BTreeMap<(Ms, u64), Ev>,
    timers: BTreeMap<u64, Ms>,
    tasks: BTreeMap<u64, Task>,
    ready: VecDeque<u64>,
    graves: Vec<(Pid, Fut<'static, ()>)>,
    /// What may do something when it is dropped, and so must not be while the lock is held.
    pub trash: Vec<Box<dyn std::any::Any + Send>>,
    pub hosts: Vec<Host>,
    pub rng: Rng,
    pub cuts: BTreeSet<(Pid, Pid)>,
    pub loss_pm: u64,
    pub dup_pm: u64,
    pub delay: (Ms, Ms),
    pub links: Links,
    pub sent: u64,
    pub trace: u64,
    /// Keepers may die in the midst of a step.
    pub faulty: bool,
}

pub struct Core {
    m: Mutex<Inner>,
    pub bug: Option<String>,
    pub tell: bool,
}

impl Inner {
    pub fn at(&mut self, when: Ms, e: Ev) -> u64 {
        self.seq += 1;
        self.q.insert((when.max(self.now), self.seq), e);
        self.seq
    }
    pub fn local(&self, p: Pid) -> Ms {
        let h = &self.hosts[p];
        h.base + self.now * h.rate / 100_000
    }
    fn mark(&mut self, a: u64, b: u64) {
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
        });
        Arc::new(Core { m, bug: bug.map(str::to_owned), tell })
    }
    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.m.lock().unwrap()
    }
    pub fn now(&self) -> Ms {
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
    pub fn later(&self, when: Ms, f: impl FnOnce(&Arc<Core>) + Send + 'static) {
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
        Arc::new(super::net::HostWorld { core: self.clone(), pid, life })
    }
    pub fn within<T>(self: &Arc<Self>, pid: Pid, f: impl FnOnce() -> T) -> T {
        rt::within(self.world(pid), f)
    }

    pub fn spawn(self: &Arc<Self>, host: Pid, life: u64, f: Fut<'static, ()>) {
        let mut m = self.lock();
        if !m.hosts[host].up || m.hosts[host].life != life {
            m.graves.push((host, f));
            return;
        }
        m.seq += 1;
        let id = m.seq;
        m.tasks.insert(id, Task { host, life, fut: Some(f), queued: true });
        m.ready.push_back(id);
    }
    pub fn wake_at(&self, pid: Pid, at: Ms, w: Waker) -> u64 {
        let mut m = self.lock();
        let (base, rate) = (m.hosts[pid].base, m.hosts[pid].rate);
        let when = (at.saturating_sub(base) * 100_000).div_ceil(rate).max(m.now + 1);
        let id = m.at(when, Ev::Wake(w));
        m.timers.insert(id, when);
        id
    }
    pub fn cancel(&self, timer: u64) {
        let mut m = self.lock();
        let gone = m.timers.remove(&timer).and_then(|at| m.q.remove(&(at, timer)));
        drop(m);
        drop(gone);
    }

    /// Runs until that time, and leaves no task that could go on before it.
    pub fn run_until(self: &Arc<Self>, end: Ms) {
        loop {
            while self.poll_one() {}
            let ev = {
                let mut m = self.lock();
                let Some((&(at, n), _)) = m.q.first_key_value().filter(|(k, _)| k.0 <= end) else {
                    m.now = end;
                    return;
                };
                m.now = at;
                m.timers.remove(&n);
                m.q.remove(&(at, n))
            };
            match ev {
                Some(Ev::Wake(w)) => w.wake(),
                Some(Ev::Resume(p)) => {
                    let mut m = self.lock();
                    if m.hosts[p].paused_until <= m.now {
                        let parked = std::mem::take(&mut m.hosts[p].parked);
                        m.ready.extend(parked);
                    }
                }
                Some(Ev::Net { from, to, sent, n }) => self.arrive(from, to, sent, n),
                Some(Ev::Do(f)) => f(self),
                None => {}
            }
        }
    }

    fn poll_one(self: &Arc<Self>) -> bool {
        let trash = std::mem::take(&mut self.lock().trash);
        drop(trash);
        let graves = std::mem::take(&mut self.lock().graves);
        for (pid, f) in graves {
            self.within(pid, || drop(f));
        }
        let (id, host, mut fut) = {
            let mut m = self.lock();
            let Some(id) = m.ready.pop_front() else { return false };
            let now = m.now;
            let Some(host) = m.tasks.get(&id).map(|t| t.host) else { return true };
            if m.hosts[host].paused_until > now {
                m.hosts[host].parked.push(id);
                return true;
            }
            let Some(t) = m.tasks.get_mut(&id) else { return true };
            t.queued = false;
            let Some(fut) = t.fut.take() else { return true };
            m.mark(id, host as u64);
            (id, host, fut)
        };
        let waker = Waker::from(Arc::new(Awake { id, core: Arc::downgrade(self) }));
        let done = self.within(host, || fut.as_mut().poll(&mut Context::from_waker(&waker)).is_ready());
        let mut m = self.lock();
        let alive = m.tasks.contains_key(&id);
        if done || !alive {
            m.tasks.remove(&id);
            m.graves.push((host, fut));
        } else if let Some(t) = m.tasks.get_mut(&id) {
            t.fut = Some(fut);
        }
        true
    }

    /// All tasks of a process are gone, in the midst of whatever they did.
    pub(super) fn bury(&self, m: &mut Inner, pid: Pid) {
        let life = m.hosts[pid].life;
        let gone: Vec<u64> =
            m.tasks.iter().filter(|(_, t)| t.host == pid && t.life == life).map(|(i, _)| *i).collect();
        for id in gone {
            let fut = m.tasks.remove(&id).and_then(|t| t.fut);
            m.graves.extend(fut.map(|f| (pid, f)));
        }
        m.hosts[pid].parked.clear();
    }

    /// Ends the run: whatever holds on to the world is let go.
    pub fn end(self: &Arc<Self>) {
        let q = {
            let mut m = self.lock();
            for p in 0..m.hosts.len() {
                self.bury(&mut m, p);
                m.hosts[p].up = false;
            }
            (std::mem::take(&mut m.q), m.links.clear())
        };
        drop(q);
        while self.poll_one() {}
        let hosts = std::mem::take(&mut self.lock().hosts);
        drop(hosts);
    }
}

struct Awake {
    id: u64,
    core: Weak<Core>,
}

impl Wake for Awake {
    fn wake(self: Arc<Self>) {
        let Some(core) = self.core.upgrade() else { return };
        let mut m = core.lock();
        if let Some(t) = m.tasks.get_mut(&self.id).filter(|t| !t.queued) {
            t.queued = true;
            m.ready.push_back(self.id);
        }
    }
}
