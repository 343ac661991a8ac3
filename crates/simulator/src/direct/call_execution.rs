//! What a simulated server does with a question on a held link.
use super::server_group::{GroupState, OpenTransaction, ServerLink};
use bytes::Bytes;
use quincehatch_core::{Millis, Position, Role};
use quincehatch_proxy::ports::{RejectReason, ServerCall, ServerReply, TransactionState};

/// What an executed question comes to.
pub enum CallResult {
    Reply(ServerReply),
    /// A commit under this id of these writes, answered once a replica has it.
    Commit(u64, Vec<u64>),
}

impl ServerLink {
    pub fn transaction_state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(t) if t.failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }
    fn reject(&mut self, no: RejectReason) -> CallResult {
        if let Some(t) =
            self.transaction.as_mut().filter(|_| !matches!(no, RejectReason::Busy | RejectReason::Unprepared))
        {
            t.failed = true;
        }
        CallResult::Reply(ServerReply {
            rejection: Some((no, Bytes::new())),
            transaction_state: self.transaction_state(),
            ..ServerReply::default()
        })
    }
    fn succeed(&self) -> CallResult {
        CallResult::Reply(ServerReply {
            transaction_state: self.transaction_state(),
            ..ServerReply::default()
        })
    }
}

pub fn statement_id(id: &Bytes) -> u64 {
    std::str::from_utf8(id).ok().and_then(|s| s.parse().ok()).unwrap_or(0)
}

impl GroupState {
    pub fn execute_call(
        &mut self,
        now: Millis,
        l: &mut ServerLink,
        call: &ServerCall,
        fails: bool,
    ) -> CallResult {
        let s = &mut self.servers[l.server];
        let (sees, end) = (s.visible_entries(now), s.visible_end(now));
        let behind = |f: &Option<Position>| f.is_some_and(|p| end < p);
        match call {
            ServerCall::Begin { read, floor } => {
                if behind(floor) {
                    return l.reject(RejectReason::Behind);
                }
                if !read && s.role != Role::Primary {
                    return l.reject(RejectReason::NotPrimary);
                }
                let (of, writes) = (None, Vec::new());
                l.transaction = Some(OpenTransaction {
                    read: *read,
                    term: s.term,
                    client_transaction: of,
                    writes,
                    visible: sees,
                    failed: false,
                });
                l.succeed()
            }
            ServerCall::Run { id, floor, .. } | ServerCall::Execute { id, floor, .. } => {
                let id = statement_id(id);
                if behind(floor) {
                    return l.reject(RejectReason::Behind);
                }
                let shape = match call {
                    ServerCall::Execute { name, .. } if !l.prepared.contains_key(name) => {
                        return l.reject(RejectReason::Unprepared);
                    }
                    ServerCall::Execute { name, .. } => l.prepared.get(name).cloned(),
                    _ => None,
                };
                let s = &self.servers[l.server];
                let lost = |t: &OpenTransaction| {
                    t.failed || (!t.read && (s.role != Role::Primary || s.term != t.term))
                };
                if l.transaction.as_ref().is_some_and(lost) {
                    return l.reject(RejectReason::NotPrimary);
                }
                let sees = l.transaction.as_ref().filter(|t| t.read).map_or(sees, |t| t.visible);
                self.ledger.check_execution(now, id, l, s, sees);
                let Some(a) = self.ledger.sent.get(&id) else { return l.reject(RejectReason::Other) };
                let text = match call {
                    ServerCall::Run { text, .. } => text.clone(),
                    ServerCall::Execute { rest, .. } => rest.clone(),
                    _ => Bytes::new(),
                };
                if (&a.text, &a.prepared) != (&text, &shape) {
                    let why =
                        format!("{id} ran as {text:?} {shape:?} instead of {:?} {:?}", a.text, a.prepared);
                    self.ledger.record_violation(format!("UNASKED at {now}: {why}"));
                    return l.reject(RejectReason::Other);
                }
                if fails {
                    return l.reject(RejectReason::Failed);
                }
                let (write, of) = (a.write, a.transaction.map(|t| t.0));
                if let Some(t) = l.transaction.as_mut() {
                    t.client_transaction = of;
                    t.writes.extend(write.then_some(id));
                } else if write {
                    return match s.role {
                        Role::Primary => CallResult::Commit(id, vec![id]),
                        Role::Replica => l.reject(RejectReason::NotPrimary),
                    };
                }
                let rows = vec![Bytes::from(format!("row {id}"))];
                CallResult::Reply(ServerReply {
                    rows,
                    transaction_state: l.transaction_state(),
                    ..ServerReply::default()
                })
            }
            ServerCall::Commit { id } => {
                let id = statement_id(id);
                let s = &self.servers[l.server];
                let Some(t) = l.transaction.take() else { return l.reject(RejectReason::Other) };
                if t.failed {
                    return l.reject(RejectReason::Other);
                }
                if !self.ledger.sent.get(&id).is_some_and(|a| {
                    a.commit
                        && (t.client_transaction.is_none()
                            || a.transaction.map(|x| x.0) == t.client_transaction)
                }) {
                    self.ledger.record_violation(format!(
                        "UNASKED at {now}: {id} commits {:?} on {}",
                        t.client_transaction, s.name
                    ));
                }
                let lost = s.role != Role::Primary || s.term != t.term;
                match (t.writes.is_empty(), lost) {
                    (true, _) => l.succeed(),
                    (false, true) => l.reject(RejectReason::NotPrimary),
                    (false, false) => CallResult::Commit(id, t.writes),
                }
            }
            ServerCall::Rollback => {
                l.transaction = None;
                l.succeed()
            }
            ServerCall::Set { name, value } => {
                l.values.insert(name.clone(), value.clone());
                l.succeed()
            }
            ServerCall::Prepare { name, write, shape } => {
                l.prepared.insert(name.clone(), (*write, shape.clone()));
                l.succeed()
            }
            ServerCall::Reset => {
                l.values.clear();
                l.prepared.clear();
                l.succeed()
            }
            ServerCall::Status
            | ServerCall::Suspend { .. }
            | ServerCall::Resume
            | ServerCall::Demote { .. } => {
                let links = self.connections.values().filter(|x| x.server == l.server).count() as u64;
                let look = self.apply_control_call(now, l.server, call, links);
                CallResult::Reply(ServerReply {
                    status: Some(look),
                    transaction_state: l.transaction_state(),
                    ..ServerReply::default()
                })
            }
        }
    }
}
