//! Calls to a server that report their results to the server's health checks.
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

/// The primary assignment of a server at the time a transaction or statement started on it.
#[derive(Clone, Copy)]
pub(super) struct PrimaryTerm<'a> {
    pub group: &'a Name,
    pub fence: FencingToken,
}

/// The server that a call goes to, and how the health checks monitor its reply.
pub(super) struct CallContext<'a> {
    pub direct: &'a DirectProxy,
    pub server: &'a Arc<ServerEntry>,
    pub pending_reply: PendingReply,
    /// Set if the call is for the primary: it is aborted when another server becomes the primary.
    pub primary_term: Option<PrimaryTerm<'a>>,
}

impl<'a> CallContext<'a> {
    /// Creates the context of a call on this route. If the server is the primary now, the call is aborted when another
    /// server becomes the primary.
    pub fn new(direct: &'a DirectProxy, server: &'a Arc<ServerEntry>, route: &'a ResolvedRoute) -> Self {
        let fence = fence_if_primary(direct, &route.group, server);
        let primary_term = fence.map(|fence| PrimaryTerm { group: &route.group, fence });
        CallContext::with_primary_term(direct, server, route, primary_term)
    }

    /// Creates the context of a call on this route that started under `primary_term`, or on a replica if that is
    /// `None`.
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

    /// Waits until another server is assigned as the primary. Never returns if the call is not for the primary.
    async fn primary_replaced(&self) {
        let Some(term) = self.primary_term else { return std::future::pending().await };
        let registry = &self.direct.proxy.registry;
        let is_successor = |assignment: &PrimaryAssignment| {
            let is_other_server = assignment.server.as_ref().is_some_and(|name| *name != self.server.name);
            assignment.fence > term.fence && is_other_server
        };
        loop {
            let changed = registry.changed.notified();
            if registry.cluster_state().primaries.get(term.group).is_some_and(is_successor) {
                return;
            }
            changed.await;
        }
    }

    fn record_reply(&self, sent_at: Millis, call_id: u64, reply: &ServerReply) {
        if reply.rejection.as_ref().is_some_and(|rejection| rejection.reason == RejectReason::Busy) {
            self.server.direct_pool.record_congestion(now());
        }
        let settings = self.direct.proxy.health_settings();
        self.server.health.lock().unwrap().request_succeeded(now(), &settings, call_id);
        self.server.record_answer(sent_at);
    }

    fn record_error(&self, sent_at: Millis, call_id: u64, error: &io::Error) {
        let end = if is_local_abort(error) {
            ConnectionEnd::Graceful
        } else {
            classify_end(error, self.server.connection_usage(true))
        };
        let settings = self.direct.proxy.health_settings();
        let mut health = self.server.health.lock().unwrap();
        health.overdue.discard(call_id);
        health.connection_ended(now(), &settings, end);
        drop(health);
        if end != ConnectionEnd::Graceful {
            self.server.record_failure(sent_at, false);
        }
    }

    /// The overdue reply stays registered until the health checks have counted it. The caller closes the connection,
    /// which ends the query at the server.
    fn record_timeout(&self, sent_at: Millis, call_id: u64) {
        let settings = self.direct.proxy.health_settings();
        self.server.health.lock().unwrap().probation_failed(now(), &settings, call_id);
        self.server.record_failure(sent_at, false);
    }
}

/// Whether this proxy aborted the call because another server became the primary.
fn is_local_abort(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionAborted
}

/// Deregisters the pending reply when the call is cancelled, for instance because a hedged read got a reply first. The
/// connection is closed then, and the reply would otherwise count as overdue at a server that may be healthy.
struct CancelGuard<'a> {
    server: &'a ServerEntry,
    call_id: u64,
    armed: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            self.server.health.lock().unwrap().overdue.discard(self.call_id);
        }
    }
}

impl Connection {
    /// Sends a call, waits for its reply and reports the result to the health checks. After an error the connection is
    /// not usable any more.
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
            // The server was replaced as the primary: it will not reply any more, or will reject the call.
            Err(()) => Ok(Err(io::ErrorKind::ConnectionAborted.into())),
        };
        guard.armed = false;
        match result {
            Ok(Ok(reply)) => {
                context.record_reply(sent_at, call_id, &reply);
                Ok(reply)
            }
            Ok(Err(error)) => {
                context.record_error(sent_at, call_id, &error);
                Err(ConnectionError::Broke(error))
            }
            Err(_) => {
                context.record_timeout(sent_at, call_id);
                Err(ConnectionError::TimedOut)
            }
        }
    }
}
