//! A keeper in the simulator: the real [`Keeper`] with a disk that is what was synced (§5.7).
use super::world::{Msg, Pid, World};
use qh_core::{Ms, Name};
use qh_state::keeper::{Found, In, Out, Rec};
use qh_state::{Ask, Keeper, Rep, terms::LOG_KEEP};
use std::collections::BTreeMap;

pub struct KeeperProc {
    pub k: Keeper,
    pub disk: Found,
    asks: BTreeMap<u64, (Pid, u64)>,
    token: u64,
    told: Ms,
    pub forgets: bool,
}

impl KeeperProc {
    pub fn new(name: Name, now: Ms, disk: Found) -> Self {
        Self {
            k: Keeper::new(name, now, disk.clone()),
            disk,
            asks: BTreeMap::new(),
            token: 0,
            told: 0,
            forgets: false,
        }
    }
    /// A crash loses all but what was synced.
    pub fn restart(&mut self, now: Ms) {
        let forgets = self.forgets;
        *self = Self::new(self.k.me.clone(), now, self.disk.clone());
        self.forgets = forgets;
    }
    fn sync(&mut self, r: &Rec) {
        match r {
            Rec::Acceptor { acc } => self.disk.acc = acc.clone(),
            Rec::View { view } => self.disk.view = view.clone(),
            Rec::Whole { store } => {
                self.disk.store = store.as_ref().clone();
                self.disk.log.clear();
            }
            // The bug: entries are called synced and are not.
            Rec::Entry { .. } if self.forgets => {}
            Rec::Entry { e } => {
                self.disk.store.apply(e);
                self.disk.log.push_back(e.clone());
                if self.disk.log.len() > LOG_KEEP {
                    self.disk.log.pop_front();
                }
            }
        }
    }
    fn step(&mut self, w: &mut World, me: Pid, now: Ms, i: In) {
        self.forgets = w.has_bug("unsynced");
        let outs = self.k.step(now, i);
        // A crash in the midst: all of the step is lost, or it is synced and nothing of it is sent.
        let fate = w.rng.below(100_000);
        let doomed = w.client.faulty && fate < 4;
        if doomed && fate < 2 {
            return w.crash_soon(me);
        }
        for o in &outs {
            if let Out::Persist(r) = o {
                self.sync(r);
            }
        }
        if doomed {
            return w.crash_soon(me);
        }
        for o in outs {
            match o {
                Out::Send(to, m) => w.send_name(me, &to, Msg::Peer(m)),
                Out::Reply(t, rep) => {
                    if let Some((to, rid)) = self.asks.remove(&t) {
                        w.send(me, to, Msg::Rep(rid, rep));
                    }
                }
                Out::Say(s) => w.hist.say(w.now, &format!("{}: {s}", self.k.me)),
                Out::Persist(_) => {}
            }
        }
        if w.hist.tell && self.told + 1_000 < w.now {
            self.told = w.now;
            let s = self.k.status();
            let line =
                format!("{} n {} committed {} in force {} {}", s.name, s.n, s.committed, s.in_force, s.why);
            w.hist.say(w.now, &line);
        }
        let facts = (self.k.serving(), self.k.view.edition, self.k.store.n, self.k.committed);
        w.hist.keeper(w.now, &self.k.me, facts);
    }
    pub fn take(&mut self, w: &mut World, me: Pid, now: Ms, from: Pid, m: Msg) {
        match m {
            Msg::Peer(m) => {
                let from = w.procs[from].name.clone();
                self.step(w, me, now, In::Peer { from, m });
            }
            Msg::Ask(rid, ask) => {
                let is_feed = matches!(ask, Ask::Feed { .. });
                if is_feed && w.has_bug("stale-tail") && self.k.is_tail() {
                    let store = Box::new(self.k.store.clone());
                    return w.send(me, from, Msg::Rep(rid, Rep::Whole { store, lease_ms: 4_000 }));
                }
                self.token += 1;
                self.asks.insert(self.token, (from, rid));
                self.step(w, me, now, In::Ask { token: self.token, ask });
            }
            _ => {}
        }
    }
    pub fn tick(&mut self, w: &mut World, me: Pid, now: Ms) {
        self.step(w, me, now, In::Tick);
    }
}
