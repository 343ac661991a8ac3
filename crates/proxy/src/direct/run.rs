//! One statement on one link, and what its answer means (§4.6, §4.10).
use crate::direct::connection::{CallContext, Connection, ConnectionError, Values};
use crate::direct::{DirectProxy, ResolvedRoute, choose};
use crate::overdue_replies::PendingReply;
use crate::ports::{RejectReason, ServerCall, ServerReply};
use crate::registry::ServerEntry;
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, FencingToken, Millis, Name, Position};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// A read or a write as the origin gave it.
#[derive(Clone, Debug)]
pub struct Statement {
    pub id: Bytes,
    pub write: bool,
    pub body: StatementBody,
}

#[derive(Clone, Debug)]
pub enum StatementBody {
    Text(Bytes),
    /// A prepared text, under this side's name.
    Named {
        name: Name,
        shape: Bytes,
        rest: Bytes,
    },
}

impl Statement {
    fn call(&self, floor: Option<Position>) -> ServerCall {
        let (id, floor) =
            (self.id.clone(), floor.filter(|_| !self.write && !seam::injected_bug("held-no-floor")));
        match &self.body {
            StatementBody::Text(t) => ServerCall::Run { id, text: t.clone(), floor },
            StatementBody::Named { name, rest, .. } => {
                ServerCall::Execute { id, name: name.clone(), rest: rest.clone(), floor }
            }
        }
    }
}

pub fn watched<'a>(
    held: &'a DirectProxy,
    row: &'a Arc<ServerEntry>,
    way: &'a ResolvedRoute,
) -> CallContext<'a> {
    let owe = PendingReply {
        timeout: way.timeout,
        query_timeout: way.query_timeout,
        long_running: false,
        first_attempt: true,
    };
    let under = choose::leads(held, &way.group, row).map(|fence| (&way.group, fence));
    CallContext { held, row, owe, under }
}

/// How far it came.
pub enum StatementAttempt {
    Said(ServerReply),
    /// Nothing was sent of the statement itself.
    NotSent(ConnectionError),
    Lost(ConnectionError),
}

/// Brings the link into the session's context and runs the statement there.
pub async fn once(
    w: &CallContext<'_>,
    link: &mut Connection,
    values: &Values,
    in_txn: bool,
    s: &Statement,
    floor: Option<Position>,
    until: Millis,
) -> StatementAttempt {
    let left = || until.saturating_sub(now());
    let suited = match in_txn {
        true => link.set_all(w, values, left()).await,
        false => link.suit(w, values, left()).await,
    };
    if let Err(e) = suited {
        return StatementAttempt::NotSent(e);
    }
    if let StatementBody::Named { name, shape, .. } = &s.body
        && let Err(e) = link.prepare(w, name, s.write, shape, left()).await
    {
        return StatementAttempt::NotSent(e);
    }
    match link.ask(w, &s.call(floor), left()).await {
        Ok(said) => {
            if said.rejection.as_ref().is_some_and(|n| n.0 == RejectReason::Unprepared) {
                link.prepared.clear();
            }
            StatementAttempt::Said(said)
        }
        Err(e) => StatementAttempt::Lost(e),
    }
}

/// What a lead's answer shows of its log is kept for the lookups to come (§4.8): only while it leads, as seen here.
pub fn seen(held: &DirectProxy, way: &ResolvedRoute, row: &ServerEntry, asked: Millis, said: &ServerReply) {
    if let Some(end) = said.log_end.filter(|_| choose::leads(held, &way.group, row).is_some()) {
        held.proxy.registry.record_primary_position(&way.group, asked, end);
    }
}

/// A commit that was sent under `fence` may be told as acknowledged only if whoever chooses the next lead can still
/// learn of it (§5.5); else whether it is kept is not known.
pub fn acked(
    held: &DirectProxy,
    way: &ResolvedRoute,
    fence: FencingToken,
    said: ServerReply,
) -> Result<ServerReply, Error> {
    let noted = said.rejection.is_some()
        || said.log_end.is_some_and(|e| held.proxy.registry.record_acknowledged(&way.group, fence, e));
    let doubt = || ErrorCode::Unknown.with_detail("another lead is being chosen").with_unknown_outcome();
    noted.then_some(said).ok_or_else(doubt)
}

/// The breakdown of a statement whose answer did not come.
pub fn lost(l: &ConnectionError, may_be_kept: bool) -> Error {
    match (l, may_be_kept) {
        (ConnectionError::Broke(e), true) => ErrorCode::Unknown.with_detail(e.kind()).with_unknown_outcome(),
        (ConnectionError::TimedOut, true) => {
            ErrorCode::Unknown.with_detail("no answer in the rule's time").with_unknown_outcome()
        }
        (ConnectionError::Broke(e), false) => {
            ErrorCode::ServerFailed.with_detail(e.kind()).with_retry_after(50)
        }
        (ConnectionError::TimedOut, false) => {
            ErrorCode::DeadlinePassed.with_detail("no answer in the rule's time").with_unknown_outcome()
        }
    }
}
