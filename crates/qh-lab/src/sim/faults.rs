//! The layout of a simulated fleet, and what goes wrong in it, drawn from the seed (§9.1).
use super::client::Client;
use super::keeper::KeeperProc;
use super::node::NodeProc;
use super::platform::Platform;
use super::server::ServerProc;
use super::world::{Ev, Kind, Msg, Pid, Proc, World};
use qh_core::{Labels, Ms, Name};
use qh_state::keeper::Found;
use qh_state::{Machine, View};

#[derive(Clone, Debug)]
pub enum Fault {
    Crash(Pid, Ms),
    Restart(Pid),
    Pause(Pid, Ms),
    /// From the first to the second, for so long; both ways when the flag is up.
    Cut(Pid, Pid, bool, Ms),
    Mend(Pid, Pid),
    /// Cut off from everyone; with the flag only what it sends is lost.
    Alone(Pid, bool, Ms),
    Rain(u64, Ms),
    Dry,
    Stall(Pid, Ms),
}

pub fn lay_out(seed: u64, keepers: usize, nodes: usize, bug: Option<&str>) -> World {
    let mut w = World::empty(seed, bug);
    let names = |p: &str, n: usize| -> Vec<Name> { (1..=n).map(|i| format!("{p}{i}").into()).collect() };
    let (ks, ns, ss) = (names("k", keepers), names("n", nodes), names("s", 3));
    let machines = ks.iter().map(|n| Machine { name: n.clone(), addr: n.clone() }).collect();
    let view = View { edition: 1, members: ks.clone(), machines };
    let add = |w: &mut World, name: &Name, make: &dyn Fn(Ms) -> Kind| {
        let (rate, base) = (100_000 - 900 + w.rng.below(1_801), w.rng.below(1_000_000));
        let pid = w.procs.len();
        w.by_name.insert(name.clone(), pid);
        w.procs.push(Proc {
            name: name.clone(),
            kind: make(base),
            up: true,
            life: 0,
            paused_until: 0,
            rate,
            base,
        });
        let at = w.rng.below(20);
        w.at(at, Ev::Tick(pid, 0));
        pid
    };
    for k in &ks {
        let disk = Found { view: view.clone(), ..Default::default() };
        add(&mut w, k, &|now| Kind::Keeper(KeeperProc::new(k.clone(), now, disk.clone())));
    }
    for (i, n) in ns.iter().enumerate() {
        let district = Name::from(format!("d{}", i % 3 + 1));
        let seeds: Vec<Name> = ns.iter().take(3).cloned().collect();
        let pid = add(&mut w, n, &|now| {
            Kind::Node(NodeProc::new(n.clone(), district.clone(), ks.clone(), seeds.clone(), 1, now))
        });
        w.client.nodes.push(pid);
    }
    for (i, s) in ss.iter().enumerate() {
        let labels: Labels = [("group", "g1".to_owned()), ("district", format!("d{}", i + 1))]
            .into_iter()
            .map(|(k, v)| (k.into(), v.into()))
            .collect();
        let peers: Vec<Name> = ss.iter().filter(|x| *x != s).cloned().collect();
        add(&mut w, s, &|_| Kind::Server(ServerProc::new(s, labels.clone(), peers.clone())));
    }
    add(&mut w, &"platform".into(), &|_| Kind::Platform(Platform::default()));
    w
}

/// Draws faults for a stretch of time; some run side by side.
pub fn schedule(w: &mut World, from: Ms, len: Ms) {
    w.at(from, Ev::Fault(Fault::Dry));
    let last = w.procs.len() as u64 - 1;
    let mut t = from;
    loop {
        t += 300 + w.rng.below(3_500);
        if t >= from + len {
            return;
        }
        let p = w.rng.below(last) as Pid;
        let q = w.rng.below(last + 1) as Pid;
        let ms = 200 + w.rng.below(6_500);
        let f = match w.rng.below(100) {
            0..30 => Fault::Crash(p, ms),
            30..50 => Fault::Pause(p, ms),
            50..65 => Fault::Cut(p, q, w.rng.chance(500), ms),
            65..80 => Fault::Alone(p, w.rng.chance(400), ms),
            80..90 => Fault::Rain(20 + w.rng.below(200), ms),
            _ => Fault::Stall(p, ms),
        };
        w.at(t, Ev::Fault(f));
    }
}

pub fn strike(w: &mut World, f: Fault) {
    let heals = matches!(f, Fault::Restart(_) | Fault::Mend(..) | Fault::Dry);
    w.client.faulty |= !heals;
    w.hist.say(w.now, &format!("fault {f:?}"));
    match f {
        Fault::Crash(p, ms) => {
            let name = w.procs[p].name.clone();
            w.crash(p);
            Client::lost(w, &name);
            w.at(w.now + ms, Ev::Fault(Fault::Restart(p)));
        }
        Fault::Restart(p) => w.restart(p),
        Fault::Pause(p, ms) => w.procs[p].paused_until = w.procs[p].paused_until.max(w.now + ms),
        Fault::Cut(p, q, both, ms) => {
            w.cuts.insert((p, q));
            if both {
                w.cuts.insert((q, p));
            }
            w.at(w.now + ms, Ev::Fault(Fault::Mend(p, q)));
        }
        Fault::Mend(p, q) => {
            w.cuts.remove(&(p, q));
            w.cuts.remove(&(q, p));
        }
        Fault::Alone(p, one_way, ms) => {
            for q in (0..w.procs.len()).filter(|q| *q != p) {
                w.cuts.insert((p, q));
                if !one_way {
                    w.cuts.insert((q, p));
                }
                w.at(w.now + ms, Ev::Fault(Fault::Mend(p, q)));
            }
        }
        Fault::Rain(pm, ms) => {
            w.drop_pm = pm;
            w.delay = (1, 80);
            w.at(w.now + ms, Ev::Fault(Fault::Dry));
        }
        Fault::Dry => {
            w.drop_pm = 0;
            w.delay = (1, 12);
        }
        Fault::Stall(p, ms) => {
            let until = w.now + ms;
            if let Kind::Server(s) = &mut w.procs[p].kind {
                s.stalled_until = until;
            }
        }
    }
}

/// All that is broken is made whole; from here the bound of the BRIEF counts.
pub fn heal(w: &mut World) {
    w.client.faulty = false;
    w.hist.say(w.now, "all is healed");
    w.cuts.clear();
    (w.drop_pm, w.delay) = (0, (1, 12));
    for p in 0..w.procs.len() {
        w.procs[p].paused_until = 0;
        if let Kind::Server(s) = &mut w.procs[p].kind {
            s.stalled_until = 0;
        }
        w.restart(p);
    }
}

impl World {
    pub fn crash(&mut self, p: Pid) {
        if !self.procs[p].up {
            return;
        }
        self.procs[p].up = false;
        for to in 0..self.procs.len() {
            if to != p {
                self.send(p, to, Msg::Reset);
            }
        }
    }
    pub fn restart(&mut self, p: Pid) {
        if self.procs[p].up {
            return;
        }
        let pr = &mut self.procs[p];
        pr.up = true;
        pr.life += 1;
        pr.paused_until = 0;
        // A monotonic clock begins anew with its machine.
        pr.base = self.rng.below(1_000_000);
        let life = pr.life;
        let now = self.local(p);
        self.with(p, |_, k| match k {
            Kind::Keeper(x) => x.restart(now),
            Kind::Node(x) => x.restart(now),
            Kind::Server(x) => x.restart(now),
            Kind::Platform(_) => {}
        });
        self.at(self.now, Ev::Tick(p, life));
    }

    /// A process dies within its own step; it is back a little later.
    pub fn crash_soon(&mut self, p: Pid) {
        self.crash(p);
        let at = self.now + 300 + self.rng.below(3_000);
        self.at(at, Ev::Fault(Fault::Restart(p)));
    }
}
