//! A held link and the context it stands in (§4.3, §4.10).
use crate::direct::DirectProxy;
use crate::evidence::{ConnectionEnd, classify_end};
use crate::overdue_replies::PendingReply;
use crate::ports::{RejectReason, ServerCall, ServerConnection, ServerReply, TransactionState};
use crate::registry::ServerEntry;
use bytes::Bytes;
use quincehatch_core::{FencingToken, Millis, Name, PrimaryAssignment};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::collections::{BTreeMap, HashSet};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// Prepared texts one link holds before it is reset.
const PREPARED: usize = 256;

pub type Values = BTreeMap<Bytes, Bytes>;

pub struct Connection {
    line: Box<dyn ServerConnection>,
    pub values: Values,
    pub prepared: HashSet<Name>,
    pub used: Millis,
    /// A call was begun on it and not answered, whether it failed or was cancelled: it is never used again.
    owes_answer: bool,
}

impl Connection {
    pub fn new(line: Box<dyn ServerConnection>) -> Connection {
        Connection { line, values: Values::new(), prepared: HashSet::new(), used: now(), owes_answer: false }
    }
    pub fn broken(&mut self) -> Option<io::Error> {
        self.line.broken()
    }
    /// May another call be sent on it?
    pub fn is_usable(&self) -> bool {
        !self.owes_answer
    }
}

/// Why a link did not bring an answer.
#[derive(Debug)]
pub enum ConnectionError {
    /// It broke, or said what no server says.
    Broke(io::Error),
    /// It was silent for as long as the rule gives it.
    TimedOut,
}

fn strange(why: &str) -> ConnectionError {
    ConnectionError::Broke(io::Error::new(io::ErrorKind::InvalidData, why))
}

/// Whose work it is that goes to the server, for the judges (§4.5).
pub struct CallContext<'a> {
    pub held: &'a DirectProxy,
    pub row: &'a Arc<ServerEntry>,
    pub owe: PendingReply,
    /// Set where only the lead may answer: its group, and the fence under which it led when the work began.
    pub under: Option<(&'a Name, FencingToken)>,
}

impl CallContext<'_> {
    /// Ends once another server is named the lead in place of this one.
    async fn overtaken(&self) {
        let Some((group, fence)) = self.under else { return std::future::pending().await };
        let board = &self.held.proxy.registry;
        loop {
            let changed = board.changed.notified();
            let other = |l: &PrimaryAssignment| {
                l.fence > fence && l.server.as_ref().is_some_and(|s| *s != self.row.name)
            };
            if board.cluster_state().primaries.get(group).is_some_and(other) {
                return;
            }
            changed.await;
        }
    }
}

/// A reply that nobody waits for any more, as another server answered first: the link is closed and nothing is owed on
/// it. Left standing it would be found overdue later, at a server that would have answered (§4.5).
struct Owed<'a> {
    row: &'a ServerEntry,
    id: u64,
    open: bool,
}

impl Drop for Owed<'_> {
    fn drop(&mut self) {
        if self.open {
            self.row.health.lock().unwrap().overdue.forget(self.id);
        }
    }
}

impl Connection {
    /// One call and its answer, watched by the judges; after `Err` the link is not used again.
    pub async fn ask(
        &mut self,
        w: &CallContext<'_>,
        c: &ServerCall,
        within: Millis,
    ) -> Result<ServerReply, ConnectionError> {
        if !self.is_usable() {
            return Err(strange("an answer is still owed on this link"));
        }
        self.owes_answer = true;
        let (id, asked) = (w.held.proxy.next_request_id(), now());
        w.row.health.lock().unwrap().overdue.record_sent(asked, id, w.owe);
        let mut owed = Owed { row: w.row, id, open: true };
        let work = seam::timeout(Duration::from_millis(within.max(1)), self.line.call(c));
        let got = match seam::select_first(work, w.overtaken()).await {
            Ok(got) => got,
            // Whoever led lost the lead in that moment: it will not answer this any more, or declines it.
            Err(()) => Ok(Err(io::ErrorKind::ConnectionAborted.into())),
        };
        owed.open = false;
        self.used = now();
        let j = w.held.proxy.health_settings();
        match got {
            Ok(Ok(said)) => {
                self.owes_answer = false;
                w.row.health.lock().unwrap().request_succeeded(now(), &j, id);
                w.row.note_answer(asked);
                Ok(said)
            }
            Ok(Err(e)) => {
                let ours = e.kind() == io::ErrorKind::ConnectionAborted;
                let end = if ours {
                    ConnectionEnd::Graceful
                } else {
                    classify_end(&e, w.row.connection_usage(true))
                };
                let mut h = w.row.health.lock().unwrap();
                h.overdue.forget(id);
                h.connection_ended(now(), &j, end);
                drop(h);
                if end != ConnectionEnd::Graceful {
                    w.row.note_failure(asked, false);
                }
                Err(ConnectionError::Broke(e))
            }
            Err(_) => {
                // It stays owed until the judges have seen it (§4.5); the link is closed, which ends the query.
                w.row.health.lock().unwrap().probation_failed(now(), &j, id);
                w.row.note_failure(asked, false);
                Err(ConnectionError::TimedOut)
            }
        }
    }

    /// Brings the link into the session's context: exactly its values (§1 N7).
    pub async fn suit(
        &mut self,
        w: &CallContext<'_>,
        want: &Values,
        within: Millis,
    ) -> Result<(), ConnectionError> {
        let bare = seam::injected_bug("held-no-reset") && want.is_empty();
        if (self.values == *want || bare) && self.prepared.len() <= PREPARED {
            return Ok(());
        }
        if self.prepared.len() > PREPARED || self.values.keys().any(|k| !want.contains_key(k)) {
            self.plain(w, &ServerCall::Reset, within).await?;
            self.values.clear();
            self.prepared.clear();
        }
        self.set_all(w, want, within).await
    }

    /// Sets what differs; what a transaction's session has set since it began.
    pub async fn set_all(
        &mut self,
        w: &CallContext<'_>,
        want: &Values,
        within: Millis,
    ) -> Result<(), ConnectionError> {
        for (k, v) in want {
            if self.values.get(k) != Some(v) {
                self.plain(w, &ServerCall::Set { name: k.clone(), value: v.clone() }, within).await?;
                self.values.insert(k.clone(), v.clone());
            }
        }
        Ok(())
    }

    pub async fn prepare(
        &mut self,
        w: &CallContext<'_>,
        name: &Name,
        write: bool,
        shape: &Bytes,
        within: Millis,
    ) -> Result<(), ConnectionError> {
        if !self.prepared.contains(name) {
            let c = ServerCall::Prepare { name: name.clone(), write, shape: shape.clone() };
            self.plain(w, &c, within).await?;
            self.prepared.insert(name.clone());
        }
        Ok(())
    }

    /// A call of ours that must simply be done.
    async fn plain(
        &mut self,
        w: &CallContext<'_>,
        c: &ServerCall,
        within: Millis,
    ) -> Result<(), ConnectionError> {
        let said = self.ask(w, c, within).await?;
        match said.rejection {
            None => Ok(()),
            Some(_) => Err(strange("a setting was declined")),
        }
    }
}

/// Is the server's no one after which nothing was run?
pub fn not_run(no: RejectReason) -> bool {
    matches!(
        no,
        RejectReason::Busy
            | RejectReason::Behind
            | RejectReason::NotPrimary
            | RejectReason::WrongServer
            | RejectReason::TooManyConnections
            | RejectReason::Unprepared
    )
}

/// A link is clean when no transaction is left on it.
pub fn clean(s: &ServerReply) -> bool {
    s.transaction_state == TransactionState::Idle
}
