//! A node in the simulator (§9.1): the feed, leases, mesh, judges and promotion are the daemons' own code;
//! what ties them to tokio in `qhd` is tied to virtual time here.
use super::node_duty::Duty;
use super::node_visit::Visit;
use super::server::SrvCall;
use super::world::{Msg, Pid, World};
use qh_core::blueprint::{Judges, default_judges};
use qh_core::{Beat, Ms, Name};
use qh_data::fresh::Seen;
use qh_data::verdict::Health;
use qh_mesh::{Life, Mesh, Rumor};
use qh_state::terms::FEED;
use qh_state::{Ask, Store, View};
use std::collections::BTreeMap;

/// What is on its way, and until when it is waited for.
#[derive(Clone, Debug)]
pub enum Pend {
    Feed { asked: Ms },
    View,
    Status { server: Name, asked: Ms },
    Visit { id: u64 },
    Duty { what: String },
    Sees,
    Push { key: Name },
}

#[derive(Default)]
pub struct Row {
    pub beat: Beat,
    pub answered: Ms,
    pub failing: Option<Ms>,
    pub declined: bool,
    pub next: Ms,
    pub health: Health,
}

pub struct NodeProc {
    pub name: Name,
    pub district: Name,
    pub store: Store,
    pub lease_until: Ms,
    pub view: View,
    keepers: Vec<Name>,
    at: usize,
    pub pend: BTreeMap<u64, (Pend, Pid, Ms)>,
    pub rid: u64,
    next_feed: Ms,
    pub rows: BTreeMap<Name, Row>,
    pub seen: BTreeMap<Name, Seen>,
    pub mesh: Mesh,
    seeds: Vec<Name>,
    pub(super) life: u64,
    pub duty: Duty,
    pub visits: BTreeMap<u64, Visit>,
    pub judges: Judges,
    pub(super) led: Option<Name>,
}

impl NodeProc {
    pub fn new(name: Name, district: Name, keepers: Vec<Name>, seeds: Vec<Name>, life: u64, now: Ms) -> Self {
        let me = Rumor {
            name: name.clone(),
            addr: name.clone(),
            district: district.clone(),
            inc: life,
            life: Life::Alive,
        };
        let seed = qh_core::hash64(&[name.as_bytes(), &life.to_le_bytes()]);
        Self {
            mesh: Mesh::new(me, seeds.clone(), seed, now),
            name,
            district,
            store: Store::default(),
            lease_until: 0,
            view: View::default(),
            keepers,
            at: 0,
            pend: BTreeMap::new(),
            rid: life << 40,
            next_feed: now,
            rows: BTreeMap::new(),
            seen: BTreeMap::new(),
            seeds,
            life,
            duty: Duty::default(),
            visits: BTreeMap::new(),
            judges: default_judges().clone(),
            led: None,
        }
    }
    pub fn restart(&mut self, now: Ms) {
        let life = self.life + 1;
        *self = Self::new(
            self.name.clone(),
            self.district.clone(),
            self.keepers.clone(),
            self.seeds.clone(),
            life,
            now,
        );
    }
    pub fn has_lease(&self, w: &World, now: Ms) -> bool {
        now < self.lease_until || (w.has_bug("no-lease") && self.lease_until > 0)
    }

    /// Sends a request and remembers what for.
    pub fn ask(
        &mut self,
        w: &mut World,
        me: Pid,
        to: &str,
        until: Ms,
        p: Pend,
        m: impl FnOnce(u64) -> Msg,
    ) -> u64 {
        self.rid += 1;
        let rid = self.rid;
        if let Some(pid) = w.pid(to) {
            self.pend.insert(rid, (p, pid, until));
            let m = m(rid);
            w.send(me, pid, m);
        }
        rid
    }
    pub fn any_keeper(&mut self) -> Name {
        self.at += 1;
        self.keepers[self.at % self.keepers.len()].clone()
    }
    pub fn head(&mut self) -> Name {
        self.view.head().cloned().unwrap_or_else(|| self.any_keeper())
    }
    fn tail(&mut self) -> Name {
        self.view.tail().cloned().unwrap_or_else(|| self.any_keeper())
    }
    pub fn learn(&mut self, v: View) {
        if v.edition > self.view.edition {
            self.view = v;
        }
    }

    pub fn take(&mut self, w: &mut World, me: Pid, now: Ms, from: Pid, m: Msg) {
        match m {
            Msg::Rep(rid, rep) => {
                if let Some((p, _, _)) = self.pend.remove(&rid) {
                    self.rep(w, me, now, p, rep);
                }
            }
            Msg::Reply(rid, r) => match self.pend.remove(&rid).map(|p| p.0) {
                Some(Pend::Status { server, asked }) => self.status(now, &server, asked, r),
                Some(Pend::Visit { id }) => self.visit_reply(w, me, now, id, Some(r)),
                Some(Pend::Duty { what }) => self.duty_reply(now, what, Some(r)),
                _ => {}
            },
            Msg::Broke(rid) => {
                if let Some((p, _, _)) = self.pend.remove(&rid) {
                    self.broke(w, me, now, p, true);
                }
            }
            Msg::Reset => {
                let gone: Vec<u64> =
                    self.pend.iter().filter(|(_, (_, to, _))| *to == from).map(|(r, _)| *r).collect();
                for rid in gone {
                    if let Some((p, _, _)) = self.pend.remove(&rid) {
                        self.broke(w, me, now, p, false);
                    }
                }
            }
            Msg::Letter(l) => self.letter(w, me, now, l),
            Msg::Beat(b) => self.beat(b),
            Msg::Sees(rid, server) => {
                let e = self.eye(&server, now);
                w.send(me, from, Msg::Seen(rid, e));
            }
            Msg::Seen(rid, e) => {
                if self.pend.remove(&rid).is_some() {
                    self.duty.seen(e);
                }
            }
            Msg::Suspect(server) => {
                let going =
                    self.duty.suspect.take().filter(|(s, _, last)| *s == server && now < last + 1_200);
                self.duty.suspect = Some((server, going.map_or(now, |x| x.1), now));
            }
            _ => {}
        }
    }

    pub fn tick(&mut self, w: &mut World, me: Pid, now: Ms) {
        let late: Vec<u64> =
            self.pend.iter().filter(|(_, (_, _, until))| *until <= now).map(|(r, _)| *r).collect();
        for rid in late {
            if let Some((p, _, _)) = self.pend.remove(&rid) {
                match p {
                    // A visit that hears nothing has its own clock.
                    Pend::Visit { id } => self.visit_silent(w, now, id),
                    p => self.broke(w, me, now, p, false),
                }
            }
        }
        if now >= self.next_feed && !self.pend.values().any(|(p, _, _)| matches!(p, Pend::Feed { .. })) {
            self.next_feed = now + FEED;
            let (node, have, applied) = (self.name.clone(), self.store.n, self.store.edition());
            let to = self.tail();
            let ask = Ask::Feed { addr: node.clone(), node, have, applied };
            self.ask(w, me, &to, now + 400, Pend::Feed { asked: now }, |r| Msg::Ask(r, ask));
        }
        let due: Vec<Name> =
            self.rows.iter().filter(|(_, r)| r.next <= now).map(|(n, _)| n.clone()).collect();
        for s in due {
            if let Some(r) = self.rows.get_mut(&s) {
                r.next = now + 250;
            }
            let p = Pend::Status { server: s.clone(), asked: now };
            self.ask(w, me, &s, now + 1_000, p, |r| Msg::Call(r, SrvCall::Status));
        }
        let j = self.judges.clone();
        self.rows.values_mut().for_each(|r| r.health.tick(now, &j));
        let outs = self.mesh.tick(now);
        self.mesh_out(w, me, outs);
        self.visits_tick(w, me, now);
        self.duty_tick(w, me, now);
    }
}
