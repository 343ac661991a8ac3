//! A database server in the simulator: the stand-in's own [`Db`] behind the contract's calls (§3).
use super::world::{Msg, Pid, World};
use crate::db::{Db, Line, Outcome, Write};
use qh_core::{Beat, Fence, Labels, Ms, Name, Stamp, State};
use serde_json::{Value, json};

#[derive(Clone, Debug)]
pub enum SrvCall {
    Order { key: Name, sum: Name, fence: Fence, list: String },
    Read { list: String },
    Status,
    Fence(Fence),
    Promote(Fence),
    Outcome { key: Name, seal: bool, fence: Fence },
}

#[derive(Clone, Debug)]
pub struct SrvRep {
    pub stamp: Stamp,
    pub rows: Option<Value>,
    pub error: Option<&'static str>,
    pub outcome: Option<&'static str>,
    pub beat: Option<Beat>,
}

pub(super) struct Wait {
    pub(super) n: u64,
    pub(super) fence: Fence,
    pub(super) to: Pid,
    pub(super) rid: u64,
    pub(super) key: Name,
    pub(super) sum: Name,
    pub(super) outcome: bool,
    pub(super) until: Ms,
}

pub struct ServerProc {
    pub db: Db,
    disk: Vec<Line>,
    pub labels: Labels,
    pub peers: Vec<Name>,
    pub(super) waits: Vec<Wait>,
    pub(super) at: usize,
    pub(super) asked: Ms,
    pub(super) answered: bool,
    seq: u64,
    boot: u64,
    pub(super) next_beat: Ms,
    pub stalled_until: Ms,
}

impl ServerProc {
    pub fn new(name: &str, labels: Labels, peers: Vec<Name>) -> Self {
        Self {
            db: Db::new(name),
            disk: vec![],
            labels,
            peers,
            waits: vec![],
            at: 0,
            asked: 0,
            answered: false,
            seq: 0,
            boot: 1,
            next_beat: 0,
            stalled_until: 0,
        }
    }
    pub fn restart(&mut self, _now: Ms) {
        let db = Db::replay(&self.db.name, self.disk.iter().cloned());
        let boot = self.boot + 1;
        let disk = std::mem::take(&mut self.disk);
        *self = Self { db, disk, boot, ..Self::new("", self.labels.clone(), self.peers.clone()) };
    }
    fn sync(&mut self) {
        self.disk.append(&mut self.db.lines);
    }
    fn stamp(&self) -> Stamp {
        let d = &self.db;
        Stamp { server: d.name.clone(), fence: d.fence, position: d.position(), role: d.role }
    }
    pub(super) fn beat(&mut self) -> Beat {
        self.seq += 1;
        let d = &self.db;
        Beat {
            server: d.name.clone(),
            boot: self.boot,
            seq: self.seq,
            addr: d.name.clone(),
            labels: self.labels.clone(),
            role: d.role,
            state: if d.whole() { State::Up } else { State::Starting },
            fence: d.fence,
            position: d.position(),
            log_end: d.end(),
        }
    }
    fn rep(&self) -> SrvRep {
        SrvRep { stamp: self.stamp(), rows: None, error: None, outcome: None, beat: None }
    }
    pub(super) fn no(&self, e: &'static str) -> SrvRep {
        SrvRep { error: Some(e), ..self.rep() }
    }
    fn leads(&self, f: Fence) -> Result<(), SrvRep> {
        if self.db.leads(f) {
            Ok(())
        } else {
            Err(self.no(if f < self.db.fence { "fence-low" } else { "not-primary" }))
        }
    }

    pub fn take(&mut self, w: &mut World, me: Pid, now: Ms, from: Pid, m: Msg) {
        match m {
            Msg::Call(rid, c) => {
                // A stall in storage: STATUS and fencing answer, statements do not until it is over.
                let storage =
                    matches!(c, SrvCall::Order { .. } | SrvCall::Read { .. } | SrvCall::Outcome { .. });
                if storage && w.now < self.stalled_until {
                    let at = self.stalled_until;
                    return w.at(at, super::world::Ev::Deliver { from, to: me, m: Msg::Call(rid, c) });
                }
                if let Some(r) = self.call(w, now, from, rid, c) {
                    self.sync();
                    w.send(me, from, Msg::Reply(rid, r));
                }
                self.sync();
            }
            Msg::Pull(p) => {
                let got = self.db.pull(&p, 256);
                w.send(me, from, Msg::Pulled(got));
                self.settle(w, me, now);
            }
            Msg::Pulled(p) => {
                self.answered = true;
                let took = p.is_some_and(|p| self.db.take(p));
                self.sync();
                if took { self.asked = 0 } else { self.at += 1 }
            }
            _ => {}
        }
    }

    fn call(&mut self, w: &World, now: Ms, from: Pid, rid: u64, c: SrvCall) -> Option<SrvRep> {
        Some(match c {
            SrvCall::Status => {
                let beat = self.beat();
                SrvRep { beat: Some(beat), ..self.rep() }
            }
            SrvCall::Read { .. } if !self.db.whole() => self.no("starting"),
            SrvCall::Read { list } => {
                let rows = self.db.kv.get(&list).cloned().unwrap_or(json!([]));
                SrvRep { rows: Some(rows), ..self.rep() }
            }
            SrvCall::Fence(f) => {
                if !self.db.set_fence(f) {
                    return Some(self.no("fence-low"));
                }
                let beat = self.beat();
                SrvRep { beat: Some(beat), ..self.rep() }
            }
            SrvCall::Promote(f) => {
                if self.db.promote(f) {
                    self.rep()
                } else {
                    self.no("fence-low")
                }
            }
            SrvCall::Order { key, sum, fence, list } => {
                if let Err(r) = self.leads(fence) {
                    return Some(r);
                }
                let writes = vec![Write::Append(list, json!(key))];
                let n = match self.db.outcome(&key) {
                    Outcome::NotKept => self.db.add_commit(&key, &sum, writes, json!(["ok"])),
                    Outcome::Running(n) => n,
                    o => return Some(self.told(&sum, o)),
                };
                if w.has_bug("early-ack") {
                    return Some(SrvRep { rows: Some(json!(["ok"])), ..self.rep() });
                }
                let until = now + 8_000;
                self.waits.push(Wait { n, fence, to: from, rid, key, sum, outcome: false, until });
                return None;
            }
            SrvCall::Outcome { key, seal, fence } => {
                if let Err(r) = self.leads(fence) {
                    return Some(r);
                }
                match self.db.outcome(&key) {
                    Outcome::NotKept if seal && w.has_bug("no-seal") => {
                        SrvRep { outcome: Some("sealed"), rows: Some(json!([])), ..self.rep() }
                    }
                    Outcome::NotKept if seal => {
                        let n = self.db.add_seal(&key);
                        let until = now + 8_000;
                        self.waits.push(Wait {
                            n,
                            fence,
                            to: from,
                            rid,
                            key,
                            sum: Name::default(),
                            outcome: true,
                            until,
                        });
                        return None;
                    }
                    o => self.outcome(o),
                }
            }
        })
    }
    pub(super) fn outcome(&self, o: Outcome) -> SrvRep {
        let (word, rows) = match o {
            Outcome::Kept { rows, .. } => ("kept", rows),
            Outcome::Sealed => ("sealed", json!([])),
            Outcome::Running(_) => ("running", json!([])),
            Outcome::NotKept => ("not-kept", json!([])),
        };
        SrvRep { outcome: Some(word), rows: Some(rows), ..self.rep() }
    }
    pub(super) fn told(&self, sum: &str, o: Outcome) -> SrvRep {
        match o {
            Outcome::Kept { sum: had, .. } if had != sum => self.no("try-reused"),
            Outcome::Kept { rows, .. } => SrvRep { rows: Some(rows), ..self.rep() },
            Outcome::Sealed => self.no("try-sealed"),
            _ => self.no("in-doubt"),
        }
    }
}
