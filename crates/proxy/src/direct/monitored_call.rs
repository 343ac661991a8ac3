//! Calls to a server whose replies the health checks watch.
use super::DirectProxy;
use super::connection::{Connection, ConnectionError};
use super::route::ResolvedRoute;
use super::server_choice::fence_if_primary;
use crate::evidence::{ConnectionEnd, classify_end};
use crate::overdue_replies::PendingReply;
use crate::ports::{RejectReason, ServerCall, ServerReply};
use crate::registry::ServerEntry;
use quincehatch_core::{FencingToken, Millis, Name, PrimaryAssignment};
use quincehatch_runtime::{now, seam};
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// The assignment under which a server was the primary when its work began.
#[derive(Clone, Copy)]
pub(super) struct PrimaryTerm<'a> {
    pub group: &'a Name,
    pub fence: FencingToken,
}

/// Which server a call goes to, and how its reply is watched.
pub(super) struct CallContext<'a> {
    pub direct: &'a DirectProxy,
    pub server: &'a Arc<ServerEntry>,
    pub pending_reply: PendingReply,
    /// Set where only the primary may answer.
    pub primary_term: Option<PrimaryTerm<'a>>,
}

impl<'a> CallContext<'a> {
    /// A statement of this route. If the server is the primary now, only the primary may answer.
    pub fn new(direct: &'a DirectProxy, server: &'a Arc<ServerEntry>, route: &'a ResolvedRoute) -> Self {
        let fence = fence_if_primary(direct, &route.group, server);
        let primary_term = fence.map(|fence| PrimaryTerm { group: &route.group, fence });
        CallContext::with_primary_term(direct, server, route, primary_term)
    }

    /// A statement of this route that began under `primary_term`, or on a replica.
    pub fn with_primary_term(
        direct: &'a DirectProxy,
        server: &'a Arc<ServerEntry>,
        route: &ResolvedRoute,
        primary_term: Option<PrimaryTerm<'a>>,
    ) -> Self {
        let pending_reply = PendingReply {
            timeout: route.timeout,
            query_timeout: route.query_timeout,
            long_running: false,
            first_attempt: true,
        };
        CallContext { direct, server, pending_reply, primary_term }
    }

    /// Waits until another server is assigned as the primary in place of this one.
    async fn primary_replaced(&self) {
        let Some(term) = self.primary_term else { return std::future::pending().await };
        let registry = &self.direct.proxy.registry;
        let is_successor = |assignment: &PrimaryAssignment| {
            let other = assignment.server.as_ref().is_some_and(|name| *name != self.server.name);
            assignment.fence > term.fence && other
        };
        loop {
            let changed = registry.changed.notified();
            if registry.cluster_state().primaries.get(term.group).is_some_and(is_successor) {
                return;
            }
            changed.await;
        }
    }

    fn note_reply(&self, sent_at: Millis, call_id: u64, reply: &ServerReply) {
        if reply.rejection.as_ref().is_some_and(|rejection| rejection.reason == RejectReason::Busy) {
            self.server.direct_pool.note_congested(now());
        }
        let settings = self.direct.proxy.health_settings();
        self.server.health.lock().unwrap().request_succeeded(now(), &settings, call_id);
        self.server.note_answer(sent_at);
    }

    fn note_error(&self, sent_at: Millis, call_id: u64, error: &io::Error) {
        let end = if is_local_abort(error) {
            ConnectionEnd::Graceful
        } else {
            classify_end(error, self.server.connection_usage(true))
        };
        let settings = self.direct.proxy.health_settings();
        let mut health = self.server.health.lock().unwrap();
        health.overdue.forget(call_id);
        health.connection_ended(now(), &settings, end);
        drop(health);
        if end != ConnectionEnd::Graceful {
            self.server.note_failure(sent_at, false);
        }
    }

    /// The reply stays pending until the health checks have seen it; the connection is closed, which ends the query.
    fn note_timeout(&self, sent_at: Millis, call_id: u64) {
        let settings = self.direct.proxy.health_settings();
        self.server.health.lock().unwrap().probation_failed(now(), &settings, call_id);
        self.server.note_failure(sent_at, false);
    }
}

/// Whether this side gave the call up, as another server became the primary.
fn is_local_abort(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionAborted
}

/// Forgets a pending reply when the call is cancelled, as after another server answered first: the connection is closed,
/// and the reply would be found overdue later at a server that would have answered.
struct CancelGuard<'a> {
    server: &'a ServerEntry,
    call_id: u64,
    armed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.server.health.lock().unwrap().overdue.forget(self.call_id);
        }
    }
}

impl Connection {
    /// One call and its answer, watched by the health checks. After an error the connection is not used again.
    pub(super) async fn call(
        &mut self,
        context: &CallContext<'_>,
        call: &ServerCall,
        within: Millis,
    ) -> Result<ServerReply, ConnectionError> {
        if !self.is_usable() {
            return Err(ConnectionError::protocol("a reply is still pending on this connection"));
        }
        let call_id = context.direct.proxy.next_request_id();
        let sent_at = now();
        let server = context.server;
        server.health.lock().unwrap().overdue.record_sent(sent_at, call_id, context.pending_reply);
        let mut guard = CancelGuard { server, call_id, armed: true };
        let exchange = seam::timeout(Duration::from_millis(within.max(1)), self.exchange(call));
        let result = match seam::select_first(exchange, context.primary_replaced()).await {
            Ok(result) => result,
            // The server lost its assignment at this moment: it will not answer any more, or will reject the call.
            Err(()) => Ok(Err(io::ErrorKind::ConnectionAborted.into())),
        };
        guard.armed = false;
        match result {
            Ok(Ok(reply)) => {
                context.note_reply(sent_at, call_id, &reply);
                Ok(reply)
            }
            Ok(Err(error)) => {
                context.note_error(sent_at, call_id, &error);
                Err(ConnectionError::Broke(error))
            }
            Err(_) => {
                context.note_timeout(sent_at, call_id);
                Err(ConnectionError::TimedOut)
            }
        }
    }
}
