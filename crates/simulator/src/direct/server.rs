//! What a simulated server does with a question on a held link.
use super::site::{Link, State, Txn};
use bytes::Bytes;
use quincehatch_core::{Millis, Position, Role};
use quincehatch_proxy::port::{Call, No, Said, Stage};

/// What an executed question comes to.
pub enum Done {
    Said(Said),
    /// A commit under this id of these writes, answered once a replica has it.
    Commit(u64, Vec<u64>),
}

impl Link {
    pub fn stage(&self) -> Stage {
        match &self.txn {
            None => Stage::Idle,
            Some(t) if t.broken => Stage::Broken,
            Some(_) => Stage::Open,
        }
    }
    fn no(&mut self, no: No) -> Done {
        if let Some(t) = self.txn.as_mut().filter(|_| !matches!(no, No::Busy | No::Unprepared)) {
            t.broken = true;
        }
        Done::Said(Said { no: Some((no, Bytes::new())), stage: self.stage(), ..Said::default() })
    }
    fn done(&self) -> Done {
        Done::Said(Said { stage: self.stage(), ..Said::default() })
    }
}

pub fn number(id: &Bytes) -> u64 {
    std::str::from_utf8(id).ok().and_then(|s| s.parse().ok()).unwrap_or(0)
}

impl State {
    pub fn run(&mut self, now: Millis, l: &mut Link, call: &Call, fails: bool) -> Done {
        let s = &mut self.servers[l.server];
        let (sees, end) = (s.sees(now), s.seen_end(now));
        let behind = |f: &Option<Position>| f.is_some_and(|p| end < p);
        match call {
            Call::Begin { read, floor } => {
                if behind(floor) {
                    return l.no(No::Behind);
                }
                if !read && s.role != Role::Primary {
                    return l.no(No::NotLead);
                }
                let (of, writes) = (None, Vec::new());
                l.txn = Some(Txn { read: *read, term: s.term, of, writes, sees, broken: false });
                l.done()
            }
            Call::Run { id, floor, .. } | Call::Execute { id, floor, .. } => {
                let id = number(id);
                if behind(floor) {
                    return l.no(No::Behind);
                }
                let shape = match call {
                    Call::Execute { name, .. } if !l.prepared.contains_key(name) => {
                        return l.no(No::Unprepared);
                    }
                    Call::Execute { name, .. } => l.prepared.get(name).cloned(),
                    _ => None,
                };
                let s = &self.servers[l.server];
                let lost = |t: &Txn| t.broken || (!t.read && (s.role != Role::Primary || s.term != t.term));
                if l.txn.as_ref().is_some_and(lost) {
                    return l.no(No::NotLead);
                }
                let sees = l.txn.as_ref().filter(|t| t.read).map_or(sees, |t| t.sees);
                self.book.runs(now, id, l, s, sees);
                let Some(a) = self.book.asked.get(&id) else { return l.no(No::Other) };
                let text = match call {
                    Call::Run { text, .. } => text.clone(),
                    Call::Execute { rest, .. } => rest.clone(),
                    _ => Bytes::new(),
                };
                if (&a.text, &a.shape) != (&text, &shape) {
                    let why = format!("{id} ran as {text:?} {shape:?} instead of {:?} {:?}", a.text, a.shape);
                    self.book.breach(format!("UNASKED at {now}: {why}"));
                    return l.no(No::Other);
                }
                if fails {
                    return l.no(No::Failed);
                }
                let (write, of) = (a.write, a.txn.map(|t| t.0));
                if let Some(t) = l.txn.as_mut() {
                    t.of = of;
                    t.writes.extend(write.then_some(id));
                } else if write {
                    return match s.role {
                        Role::Primary => Done::Commit(id, vec![id]),
                        Role::Replica => l.no(No::NotLead),
                    };
                }
                let rows = vec![Bytes::from(format!("row {id}"))];
                Done::Said(Said { rows, stage: l.stage(), ..Said::default() })
            }
            Call::Commit { id } => {
                let id = number(id);
                let s = &self.servers[l.server];
                let Some(t) = l.txn.take() else { return l.no(No::Other) };
                if t.broken {
                    return l.no(No::Other);
                }
                if !self
                    .book
                    .asked
                    .get(&id)
                    .is_some_and(|a| a.commit && (t.of.is_none() || a.txn.map(|x| x.0) == t.of))
                {
                    self.book.breach(format!("UNASKED at {now}: {id} commits {:?} on {}", t.of, s.name));
                }
                let lost = s.role != Role::Primary || s.term != t.term;
                match (t.writes.is_empty(), lost) {
                    (true, _) => l.done(),
                    (false, true) => l.no(No::NotLead),
                    (false, false) => Done::Commit(id, t.writes),
                }
            }
            Call::Rollback => {
                l.txn = None;
                l.done()
            }
            Call::Set { name, value } => {
                l.values.insert(name.clone(), value.clone());
                l.done()
            }
            Call::Prepare { name, write, shape } => {
                l.prepared.insert(name.clone(), (*write, shape.clone()));
                l.done()
            }
            Call::Reset => {
                l.values.clear();
                l.prepared.clear();
                l.done()
            }
            Call::Status | Call::Suspend { .. } | Call::Resume | Call::Demote { .. } => {
                let links = self.links.values().filter(|x| x.server == l.server).count() as u64;
                let look = self.told(now, l.server, call, links);
                Done::Said(Said { look: Some(look), stage: l.stage(), ..Said::default() })
            }
        }
    }
}
