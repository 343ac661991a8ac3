//! A transaction that is open at a server, which uses one connection from its first statement to its end.
use super::DirectProxy;
use super::acknowledgement::{SentCommit, commit_response};
use super::connection::SessionSettings;
use super::monitored_call::{CallContext, PrimaryTerm};
use super::pool::Checkout;
use super::replies::{
    in_doubt_error, leaves_idle, record_primary_position, reject_reason, transaction_lost,
    transaction_lost_by, was_not_run,
};
use super::response::StatementResponse;
use super::retry::Backoff;
use super::route::ResolvedRoute;
use super::statement::{Execution, Statement, StatementAttempt};
use crate::ports::{RejectReason, ServerCall, ServerReply, TransactionState};
use crate::routing::in_flight::InFlightGuard;
use crate::routing::registry::ServerEntry;
use bytes::Bytes;
use quincehatch_core::{FencingToken, Millis};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// A transaction that is open at a server. Dropping it closes its connection, which rolls it back.
pub(super) struct OpenTransaction {
    pub(super) checkout: Checkout,
    pub(super) server: Arc<ServerEntry>,
    pub(super) route: ResolvedRoute,
    pub(super) wrote: bool,
    pub(super) on_primary: bool,
    /// The fence under which the server was the primary when the transaction began.
    pub(super) fence: FencingToken,
    /// Counts the transaction as in flight until it has ended; `None` if it only reads and may run on a replica.
    pub(super) _in_flight: Option<InFlightGuard>,
}

impl OpenTransaction {
    /// Runs one statement. After an error the transaction has failed, unless the server reports it as still open.
    pub async fn run(
        &mut self,
        direct: &DirectProxy,
        settings: &SessionSettings,
        statement: &Statement,
    ) -> StatementResponse {
        let deadlines = self.route.transaction_deadlines();
        let mut backoff = Backoff::default();
        self.wrote |= statement.write;
        loop {
            let execution = Execution {
                statement,
                settings,
                floor: None,
                in_transaction: true,
                finish_by: deadlines.finish_by,
            };
            let context = call_context(direct, &self.server, &self.route, self.primary_fence());
            let sent_at = now();
            let reply = match self.checkout.connection.execute(&context, &execution).await {
                StatementAttempt::Replied(reply) => reply,
                // Nothing of the transaction was committed, and closing the connection rolls it back.
                StatementAttempt::NotSent(error) | StatementAttempt::Unanswered(error) => {
                    let error = transaction_lost_by(&error);
                    return StatementResponse::failed(error, TransactionState::Failed);
                }
            };
            self.record_position(direct, sent_at, &reply);
            let still_open = reply.transaction_state == TransactionState::Open;
            let retriable =
                matches!(reject_reason(&reply), Some(RejectReason::Busy | RejectReason::Unprepared));
            if retriable && still_open && !deadlines.start_deadline_passed() {
                backoff.pause().await;
                continue;
            }
            // If the server does not report the transaction as open, the connection is closed, so that it is rolled
            // back.
            let state = if still_open { TransactionState::Open } else { TransactionState::Failed };
            return StatementResponse::from_reply(reply, state);
        }
    }

    /// Commits the transaction. `id` is the client's id of the commit.
    pub async fn commit(mut self, direct: &DirectProxy, id: Bytes) -> StatementResponse {
        let deadlines = self.route.deadlines();
        let mut backoff = Backoff::default();
        let commit = ServerCall::Commit { id };
        loop {
            let sent = SentCommit {
                fence: self.fence,
                after: direct.proxy.registry.observed_end(&self.route.group),
                finish_by: deadlines.finish_by,
            };
            let context = call_context(direct, &self.server, &self.route, self.primary_fence());
            let sent_at = now();
            let reply = match self.checkout.connection.call(&context, &commit, deadlines.time_left()).await {
                Ok(reply) => reply,
                Err(error) => {
                    let error = if self.wrote {
                        in_doubt_error(&error)
                    } else {
                        transaction_lost("the server did not reply to the commit")
                    };
                    return StatementResponse::failed(error, TransactionState::Idle);
                }
            };
            self.record_position(direct, sent_at, &reply);
            let busy = reject_reason(&reply) == Some(RejectReason::Busy);
            let still_open = reply.transaction_state == TransactionState::Open;
            if busy && still_open && !deadlines.start_deadline_passed() {
                backoff.pause().await;
                continue;
            }
            return self.commit_reply_response(direct, sent, reply).await;
        }
    }

    /// Returns the response to a commit that got `reply`.
    async fn commit_reply_response(
        self,
        direct: &DirectProxy,
        sent: SentCommit,
        reply: ServerReply,
    ) -> StatementResponse {
        if leaves_idle(&reply) {
            self.checkout.check_in();
        }
        if reject_reason(&reply).is_some_and(was_not_run) {
            // The commit was not run, and the transaction is rolled back or its connection closed: nothing is
            // committed.
            let error = transaction_lost("the server did not run the commit");
            return StatementResponse::failed(error, TransactionState::Idle);
        }
        if self.wrote {
            return commit_response(direct, &self.route, sent, reply).await;
        }
        StatementResponse::from_reply(reply, TransactionState::Idle)
    }

    /// Rolls the transaction back in a background task, so that the client does not wait for it.
    pub fn roll_back(self: Box<Self>, direct: Arc<DirectProxy>) {
        seam::spawn(async move {
            // The task owns the whole transaction, so that it counts as in flight until it is rolled back.
            let mut open = *self;
            let context = CallContext::new(&direct, &open.server, &open.route);
            let within = open.route.timeout;
            let reply = open.checkout.connection.call(&context, &ServerCall::Rollback, within).await;
            if reply.is_ok_and(|reply| reply.rejection.is_none() && leaves_idle(&reply)) {
                open.checkout.check_in();
            }
        });
    }

    fn primary_fence(&self) -> Option<FencingToken> {
        self.on_primary.then_some(self.fence)
    }

    fn record_position(&self, direct: &DirectProxy, sent_at: Millis, reply: &ServerReply) {
        if self.on_primary {
            record_primary_position(direct, &self.route, &self.server, sent_at, reply);
        }
    }
}

/// Returns the context of a call in a transaction that began on the primary under `fence`, or on a replica if that is
/// `None`.
fn call_context<'a>(
    direct: &'a DirectProxy,
    server: &'a Arc<ServerEntry>,
    route: &'a ResolvedRoute,
    fence: Option<FencingToken>,
) -> CallContext<'a> {
    let primary_term = fence.map(|fence| PrimaryTerm { group: &route.group, fence });
    CallContext::with_primary_term(direct, server, route, primary_term)
}
