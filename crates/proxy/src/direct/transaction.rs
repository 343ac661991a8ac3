//! A transaction of a session: one connection from its first statement to its end.
use super::DirectProxy;
use super::check_out::check_out;
use super::connection::{Connection, ConnectionError, SessionSettings};
use super::monitored_call::{CallContext, PrimaryTerm};
use super::pool::Checkout;
use super::replies::{
    RETRY_AFTER_REJECTION, commit_response, in_doubt_error, leaves_idle, record_primary_position,
    reject_reason, rejection_error, transaction_lost, transaction_lost_by, unanswered_error, was_not_run,
};
use super::response::StatementResponse;
use super::retry::Backoff;
use super::route::{Deadlines, ResolvedRoute};
use super::server_choice::{
    ReadTarget, choose_read_target, fence_if_accepting, fence_if_primary, wait_for_primary,
};
use super::statement::{Execution, Statement, StatementAttempt};
use crate::in_flight::InFlightGuard;
use crate::ports::{RejectReason, ServerCall, ServerReply, TransactionState};
use crate::registry::ServerEntry;
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, FencingToken, Millis};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// The transaction of a session.
pub(super) enum Transaction {
    /// The client has begun it, and nothing was sent to a server yet.
    Deferred(BeginRequest),
    /// It is open at a server.
    Open(Box<OpenTransaction>),
    /// It failed. Ending it rolls back, and any other command is rejected.
    Failed,
}

/// How a transaction is to begin.
pub(super) struct BeginRequest {
    pub route: ResolvedRoute,
    /// The client said that it only reads.
    pub read_only: bool,
}

/// A transaction that is open at a server. Dropping it closes its connection, which rolls it back.
pub(super) struct OpenTransaction {
    checkout: Checkout,
    server: Arc<ServerEntry>,
    route: ResolvedRoute,
    wrote: bool,
    on_primary: bool,
    /// The fence under which its server was the primary when it began.
    fence: FencingToken,
    _in_flight: Option<InFlightGuard>,
}

/// How one attempt to begin ended.
enum BeginAttempt {
    Begun {
        checkout: Checkout,
        fence: FencingToken,
    },
    /// The server stopped being the primary before anything was sent.
    NotStarted,
    Retry(Error),
}

impl BeginRequest {
    /// Begins the transaction at a server that fits.
    ///
    /// # Errors
    /// When no server could be had in time. Nothing of the transaction was run then.
    pub async fn begin(
        self,
        direct: &DirectProxy,
        settings: &SessionSettings,
    ) -> Result<OpenTransaction, Error> {
        let deadlines = self.route.transaction_deadlines();
        let on_any_server = self.read_only && !self.route.primary_only;
        let mut tried = Vec::new();
        let mut backoff = Backoff::default();
        let mut last_error = ErrorCode::ConnectionsBusy.without_detail();
        loop {
            let mut in_flight = None;
            let target = if on_any_server {
                choose_read_target(direct, &self.route, &tried, false)
            } else {
                // Counted before the primary is looked up: a handover either sees this work, or is seen by it.
                in_flight = Some(direct.proxy.registry.in_flight.begin(&self.route.group));
                let server = wait_for_primary(direct, &self.route.group, deadlines.start_by).await?;
                Some(ReadTarget { server, floor: None })
            };
            if let Some(target) = target {
                match self.attempt(direct, settings, &target, deadlines).await {
                    BeginAttempt::Begun { checkout, fence } => {
                        return Ok(self.opened(checkout, target, fence, in_flight));
                    }
                    BeginAttempt::NotStarted => {}
                    BeginAttempt::Retry(error) => last_error = error,
                }
                tried.push(target.server);
            } else {
                tried.clear();
            }
            drop(in_flight);
            if deadlines.start_passed() {
                return Err(last_error.with_retry_after(RETRY_AFTER_REJECTION));
            }
            backoff.pause().await;
        }
    }

    fn opened(
        self,
        checkout: Checkout,
        target: ReadTarget,
        fence: FencingToken,
        in_flight: Option<InFlightGuard>,
    ) -> OpenTransaction {
        OpenTransaction {
            checkout,
            on_primary: target.is_primary(),
            server: target.server,
            route: self.route,
            wrote: false,
            fence,
            _in_flight: in_flight,
        }
    }

    async fn attempt(
        &self,
        direct: &DirectProxy,
        settings: &SessionSettings,
        target: &ReadTarget,
        deadlines: Deadlines,
    ) -> BeginAttempt {
        let (route, server) = (&self.route, &target.server);
        let mut checkout = match check_out(direct, server, settings, route.priority, deadlines.start_by).await
        {
            Ok(checkout) => checkout,
            Err(error) => return BeginAttempt::Retry(error.code().without_detail()),
        };
        if target.is_primary() && fence_if_accepting(direct, &route.group, server).is_none() {
            checkout.check_in();
            return BeginAttempt::NotStarted;
        }
        let context = CallContext::new(direct, server, route);
        let fence = fence_if_primary(direct, &route.group, server).unwrap_or_default();
        let begin = ServerCall::Begin { read: self.read_only, floor: target.floor };
        let reply = match send_begin(&mut checkout.connection, &context, settings, &begin, deadlines).await {
            Ok(reply) => reply,
            Err(error) => return BeginAttempt::Retry(unanswered_error(&error)),
        };
        if reply.rejection.is_none() && reply.transaction_state == TransactionState::Open {
            return BeginAttempt::Begun { checkout, fence };
        }
        if leaves_idle(&reply) {
            checkout.check_in();
        }
        let reason = reject_reason(&reply).unwrap_or(RejectReason::Other);
        if reason == RejectReason::NotPrimary && target.is_primary() {
            server.note_not_primary(now());
        }
        BeginAttempt::Retry(rejection_error(reason))
    }
}

async fn send_begin(
    connection: &mut Connection,
    context: &CallContext<'_>,
    settings: &SessionSettings,
    begin: &ServerCall,
    deadlines: Deadlines,
) -> Result<ServerReply, ConnectionError> {
    connection.apply_settings(context, settings, deadlines.time_left()).await?;
    connection.call(context, begin, deadlines.time_left()).await
}

impl OpenTransaction {
    /// Runs one statement. After an error the transaction has failed, unless the server says that it is still open.
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
            let asked_at = now();
            let reply = match self.checkout.connection.execute(&context, &execution).await {
                StatementAttempt::Replied(reply) => reply,
                // Nothing of it was committed, and closing the connection rolls it back.
                StatementAttempt::NotSent(error) | StatementAttempt::Unanswered(error) => {
                    let error = transaction_lost_by(&error);
                    return StatementResponse::failed(error, TransactionState::Failed);
                }
            };
            self.record_position(direct, asked_at, &reply);
            let still_open = reply.transaction_state == TransactionState::Open;
            let retriable =
                matches!(reject_reason(&reply), Some(RejectReason::Busy | RejectReason::Unprepared));
            if retriable && still_open && !deadlines.start_passed() {
                backoff.pause().await;
                continue;
            }
            // What the server rolled back by itself is rolled back; closing the connection makes it certain.
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
            let context = call_context(direct, &self.server, &self.route, self.primary_fence());
            let asked_at = now();
            let reply = match self.checkout.connection.call(&context, &commit, deadlines.time_left()).await {
                Ok(reply) => reply,
                Err(error) => {
                    let error = if self.wrote {
                        in_doubt_error(&error)
                    } else {
                        transaction_lost("its connection broke")
                    };
                    return StatementResponse::failed(error, TransactionState::Idle);
                }
            };
            self.record_position(direct, asked_at, &reply);
            let busy = reject_reason(&reply) == Some(RejectReason::Busy);
            let still_open = reply.transaction_state == TransactionState::Open;
            if busy && still_open && !deadlines.start_passed() {
                backoff.pause().await;
                continue;
            }
            return self.committed(direct, reply);
        }
    }

    fn committed(self, direct: &DirectProxy, reply: ServerReply) -> StatementResponse {
        if leaves_idle(&reply) {
            self.checkout.check_in();
        }
        if reject_reason(&reply).is_some_and(was_not_run) {
            // The commit was not run, and its connection is rolled back or closed: nothing is committed.
            let error = transaction_lost("the commit was not run");
            return StatementResponse::failed(error, TransactionState::Idle);
        }
        if self.wrote {
            return commit_response(direct, &self.route, self.fence, reply);
        }
        StatementResponse::from_reply(reply, TransactionState::Idle)
    }

    /// Rolls back in the background; the client need not wait for it.
    pub fn roll_back(self: Box<Self>, direct: Arc<DirectProxy>) {
        seam::spawn(async move {
            // All of it moves into the task, so that the work counts as in flight until it is rolled back.
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

    fn record_position(&self, direct: &DirectProxy, asked_at: Millis, reply: &ServerReply) {
        if self.on_primary {
            record_primary_position(direct, &self.route, &self.server, asked_at, reply);
        }
    }
}

/// The context of a call in a transaction that began on the primary under `fence`, or on a replica.
fn call_context<'a>(
    direct: &'a DirectProxy,
    server: &'a Arc<ServerEntry>,
    route: &'a ResolvedRoute,
    fence: Option<FencingToken>,
) -> CallContext<'a> {
    let primary_term = fence.map(|fence| PrimaryTerm { group: &route.group, fence });
    CallContext::with_primary_term(direct, server, route, primary_term)
}
