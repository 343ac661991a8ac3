//! Virtual time, the network between processes, and the run as a whole (§9.1).
use super::client::Client;
use super::facts::History;
use super::faults;
use super::keeper::KeeperProc;
use super::node::NodeProc;
use super::platform::Platform;
use super::server::{ServerProc, SrvCall, SrvRep};
use crate::db::{Pull, Pulled};
use qh_control::watch::Eye;
use qh_core::rng::Rng;
use qh_core::{Beat, Ms, Name};
use qh_mesh::Letter;
use qh_state::{Ask, PeerMsg, Rep};
use std::collections::{BTreeMap, BTreeSet};

pub type Pid = usize;

/// Everything that travels.
#[derive(Clone, Debug)]
pub enum Msg {
    Peer(PeerMsg),
    Ask(u64, Ask),
    Rep(u64, Rep),
    Call(u64, SrvCall),
    Reply(u64, SrvRep),
    Pull(Pull),
    Pulled(Option<Pulled>),
    Letter(Letter),
    Beat(Beat),
    Sees(u64, Name),
    Seen(u64, Eye),
    Suspect(Name),
    Promote {
        rid: u64,
        group: Name,
        server: Name,
        fence: u64,
        node: Name,
    },
    /// Nobody listens there, or the link was reset: the request `rid` has no answer.
    Broke(u64),
    /// The process at the other end crashed: every link to it is reset.
    Reset,
}

pub enum Ev {
    Deliver { from: Pid, to: Pid, m: Msg },
    Tick(Pid, u64),
    Client,
    Fault(faults::Fault),
}

pub enum Kind {
    Keeper(KeeperProc),
    Node(NodeProc),
    Server(ServerProc),
    Platform(Platform),
}

pub struct Proc {
    pub name: Name,
    pub kind: Kind,
    pub up: bool,
    pub life: u64,
    pub paused_until: Ms,
    /// Local milliseconds in 100 000 of the true time's, and where the local clock began.
    pub rate: u64,
    pub base: Ms,
}

pub struct World {
    pub now: Ms,
    pub seed: u64,
    pub rng: Rng,
    next: u64,
    q: BTreeMap<(Ms, u64), Ev>,
    pub procs: Vec<Proc>,
    pub by_name: BTreeMap<Name, Pid>,
    pub cuts: BTreeSet<(Pid, Pid)>,
    pub drop_pm: u64,
    pub dup_pm: u64,
    pub delay: (Ms, Ms),
    pub hist: History,
    pub client: Client,
    pub sent: u64,
    /// A deliberate bug, to see that the checks catch it.
    pub bug: Option<String>,
}

/// Ticks of every process, in its own time.
const TICK: Ms = 20;

impl World {
    pub fn at(&mut self, when: Ms, e: Ev) {
        self.next += 1;
        self.q.insert((when.max(self.now), self.next), e);
    }
    /// A process's own clock.
    pub fn local(&self, p: Pid) -> Ms {
        let pr = &self.procs[p];
        pr.base + self.now * pr.rate / 100_000
    }
    pub fn pid(&self, name: &str) -> Option<Pid> {
        self.by_name.get(name).copied()
    }

    pub fn send(&mut self, from: Pid, to: Pid, m: Msg) {
        self.sent += 1;
        if self.cuts.contains(&(from, to)) || self.rng.chance(self.drop_pm) {
            return;
        }
        let copies =
            if self.rng.chance(self.dup_pm) && !matches!(m, Msg::Broke(_) | Msg::Reset) { 2 } else { 1 };
        for _ in 0..copies {
            let d = self.delay.0 + self.rng.below(self.delay.1 - self.delay.0 + 1);
            let e = Ev::Deliver { from, to, m: m.clone() };
            self.at(self.now + d, e);
        }
    }
    pub fn send_name(&mut self, from: Pid, to: &str, m: Msg) {
        if let Some(to) = self.pid(to) {
            self.send(from, to, m);
        }
    }

    /// Takes a process out to let it act on the world, and puts it back.
    pub fn with<T>(&mut self, p: Pid, f: impl FnOnce(&mut World, &mut Kind) -> T) -> T {
        let mut k = std::mem::replace(&mut self.procs[p].kind, Kind::Platform(Platform::default()));
        let t = f(self, &mut k);
        self.procs[p].kind = k;
        t
    }

    fn deliver(&mut self, from: Pid, to: Pid, m: Msg) {
        let (up, paused) = (self.procs[to].up, self.procs[to].paused_until);
        if paused > self.now {
            return self.at(paused, Ev::Deliver { from, to, m });
        }
        if !up {
            let rid = match &m {
                Msg::Ask(r, _) | Msg::Call(r, _) | Msg::Sees(r, _) => *r,
                Msg::Promote { rid, .. } => *rid,
                _ => return,
            };
            return self.send(to, from, Msg::Broke(rid));
        }
        let now = self.local(to);
        self.with(to, |w, k| match k {
            Kind::Keeper(x) => x.take(w, to, now, from, m),
            Kind::Node(x) => x.take(w, to, now, from, m),
            Kind::Server(x) => x.take(w, to, now, from, m),
            Kind::Platform(x) => x.take(w, to, from, m),
        });
    }

    fn tick(&mut self, p: Pid, life: u64) {
        let pr = &self.procs[p];
        if !pr.up || pr.life != life {
            return;
        }
        if pr.paused_until > self.now {
            let at = pr.paused_until;
            return self.at(at, Ev::Tick(p, life));
        }
        let now = self.local(p);
        self.with(p, |w, k| match k {
            Kind::Keeper(x) => x.tick(w, p, now),
            Kind::Node(x) => x.tick(w, p, now),
            Kind::Server(x) => x.tick(w, p, now),
            Kind::Platform(_) => {}
        });
        let jitter = self.rng.below(5);
        self.at(self.now + TICK + jitter, Ev::Tick(p, life));
    }

    pub(super) fn step_until(&mut self, end: Ms, trace: &mut u64) {
        while let Some((&(t, n), _)) = self.q.first_key_value() {
            if t > end {
                break;
            }
            let Some(e) = self.q.remove(&(t, n)) else { break };
            self.now = t;
            let mark = match &e {
                Ev::Deliver { from, to, .. } => 1 + (*from as u64) * 64 + *to as u64,
                Ev::Tick(p, _) => 10_000 + *p as u64,
                Ev::Client => 20_000,
                Ev::Fault(_) => 30_000,
            };
            *trace = trace.wrapping_mul(0x0000_0100_0000_01b3) ^ (t << 16) ^ mark;
            match e {
                Ev::Deliver { from, to, m } => self.deliver(from, to, m),
                Ev::Tick(p, l) => self.tick(p, l),
                Ev::Client => Client::go(self),
                Ev::Fault(f) => faults::strike(self, f),
            }
        }
        self.now = end;
    }
}

impl World {
    pub fn empty(seed: u64, bug: Option<&str>) -> World {
        World {
            now: 0,
            seed,
            rng: Rng::new(seed),
            next: 0,
            q: BTreeMap::new(),
            procs: Vec::new(),
            by_name: BTreeMap::new(),
            cuts: BTreeSet::new(),
            drop_pm: 0,
            dup_pm: 5,
            delay: (1, 12),
            hist: History::default(),
            client: Client::default(),
            sent: 0,
            bug: bug.map(str::to_owned),
        }
    }
    pub fn has_bug(&self, b: &str) -> bool {
        self.bug.as_deref() == Some(b)
    }
}
