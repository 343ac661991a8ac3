//! What a simulated server does with a question on a held link.
use super::site::{Link, State, Txn};
use bytes::Bytes;
use quincehatch_core::{Millis, Position, Role};
use quincehatch_proxy::ports::{RejectReason, ServerCall, ServerReply, TransactionState};

/// What an executed question comes to.
pub enum Done {
    Said(ServerReply),
    /// A commit under this id of these writes, answered once a replica has it.
    Commit(u64, Vec<u64>),
}

impl Link {
    pub fn stage(&self) -> TransactionState {
        match &self.txn {
            None => TransactionState::Idle,
            Some(t) if t.broken => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }
    fn no(&mut self, no: RejectReason) -> Done {
        if let Some(t) =
            self.txn.as_mut().filter(|_| !matches!(no, RejectReason::Busy | RejectReason::Unprepared))
        {
            t.broken = true;
        }
        Done::Said(ServerReply {
            rejection: Some((no, Bytes::new())),
            transaction_state: self.stage(),
            ..ServerReply::default()
        })
    }
    fn done(&self) -> Done {
        Done::Said(ServerReply { transaction_state: self.stage(), ..ServerReply::default() })
    }
}

pub fn number(id: &Bytes) -> u64 {
    std::str::from_utf8(id).ok().and_then(|s| s.parse().ok()).unwrap_or(0)
}

impl State {
    pub fn run(&mut self, now: Millis, l: &mut Link, call: &ServerCall, fails: bool) -> Done {
        let s = &mut self.servers[l.server];
        let (sees, end) = (s.sees(now), s.visible_end(now));
        let behind = |f: &Option<Position>| f.is_some_and(|p| end < p);
        match call {
            ServerCall::Begin { read, floor } => {
                if behind(floor) {
                    return l.no(RejectReason::Behind);
                }
                if !read && s.role != Role::Primary {
                    return l.no(RejectReason::NotPrimary);
                }
                let (of, writes) = (None, Vec::new());
                l.txn = Some(Txn { read: *read, term: s.term, of, writes, sees, broken: false });
                l.done()
            }
            ServerCall::Run { id, floor, .. } | ServerCall::Execute { id, floor, .. } => {
                let id = number(id);
                if behind(floor) {
                    return l.no(RejectReason::Behind);
                }
                let shape = match call {
                    ServerCall::Execute { name, .. } if !l.prepared.contains_key(name) => {
                        return l.no(RejectReason::Unprepared);
                    }
                    ServerCall::Execute { name, .. } => l.prepared.get(name).cloned(),
                    _ => None,
                };
                let s = &self.servers[l.server];
                let lost = |t: &Txn| t.broken || (!t.read && (s.role != Role::Primary || s.term != t.term));
                if l.txn.as_ref().is_some_and(lost) {
                    return l.no(RejectReason::NotPrimary);
                }
                let sees = l.txn.as_ref().filter(|t| t.read).map_or(sees, |t| t.sees);
                self.book.check_execution(now, id, l, s, sees);
                let Some(a) = self.book.asked.get(&id) else { return l.no(RejectReason::Other) };
                let text = match call {
                    ServerCall::Run { text, .. } => text.clone(),
                    ServerCall::Execute { rest, .. } => rest.clone(),
                    _ => Bytes::new(),
                };
                if (&a.text, &a.shape) != (&text, &shape) {
                    let why = format!("{id} ran as {text:?} {shape:?} instead of {:?} {:?}", a.text, a.shape);
                    self.book.record_violation(format!("UNASKED at {now}: {why}"));
                    return l.no(RejectReason::Other);
                }
                if fails {
                    return l.no(RejectReason::Failed);
                }
                let (write, of) = (a.write, a.txn.map(|t| t.0));
                if let Some(t) = l.txn.as_mut() {
                    t.of = of;
                    t.writes.extend(write.then_some(id));
                } else if write {
                    return match s.role {
                        Role::Primary => Done::Commit(id, vec![id]),
                        Role::Replica => l.no(RejectReason::NotPrimary),
                    };
                }
                let rows = vec![Bytes::from(format!("row {id}"))];
                Done::Said(ServerReply { rows, transaction_state: l.stage(), ..ServerReply::default() })
            }
            ServerCall::Commit { id } => {
                let id = number(id);
                let s = &self.servers[l.server];
                let Some(t) = l.txn.take() else { return l.no(RejectReason::Other) };
                if t.broken {
                    return l.no(RejectReason::Other);
                }
                if !self
                    .book
                    .asked
                    .get(&id)
                    .is_some_and(|a| a.commit && (t.of.is_none() || a.txn.map(|x| x.0) == t.of))
                {
                    self.book
                        .record_violation(format!("UNASKED at {now}: {id} commits {:?} on {}", t.of, s.name));
                }
                let lost = s.role != Role::Primary || s.term != t.term;
                match (t.writes.is_empty(), lost) {
                    (true, _) => l.done(),
                    (false, true) => l.no(RejectReason::NotPrimary),
                    (false, false) => Done::Commit(id, t.writes),
                }
            }
            ServerCall::Rollback => {
                l.txn = None;
                l.done()
            }
            ServerCall::Set { name, value } => {
                l.values.insert(name.clone(), value.clone());
                l.done()
            }
            ServerCall::Prepare { name, write, shape } => {
                l.prepared.insert(name.clone(), (*write, shape.clone()));
                l.done()
            }
            ServerCall::Reset => {
                l.values.clear();
                l.prepared.clear();
                l.done()
            }
            ServerCall::Status
            | ServerCall::Suspend { .. }
            | ServerCall::Resume
            | ServerCall::Demote { .. } => {
                let links = self.links.values().filter(|x| x.server == l.server).count() as u64;
                let look = self.told(now, l.server, call, links);
                Done::Said(ServerReply {
                    status: Some(look),
                    transaction_state: l.stage(),
                    ..ServerReply::default()
                })
            }
        }
    }
}
