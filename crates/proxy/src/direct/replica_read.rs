//! Reads on a replica within the route's staleness bound, or on the primary.
use super::check_out::{CheckoutRequest, check_out};
use super::connection::ConnectionError;
use super::monitored_call::CallContext;
use super::replies::{
    RETRY_AFTER_REJECTION, leaves_idle, record_primary_position, reject_reason, rejection_error,
    unanswered_error, was_not_run,
};
use super::response::StatementResponse;
use super::retry::Backoff;
use super::route::Deadlines;
use super::server_choice::{ReadTarget, choose_read_target, fence_if_accepting};
use super::statement::{Execution, SingleStatement, StatementAttempt};
use crate::ports::{RejectReason, ServerReply, TransactionState};
use crate::registry::ServerEntry;
use quincehatch_core::{Error, ErrorCode};
use quincehatch_runtime::now;
use std::sync::{Arc, Mutex};

/// A read fails once it was tried on more servers than this and no other server is left.
const MAX_SERVERS: usize = 4;

/// The servers on which a read was tried, shared between the read and its hedge.
#[derive(Default)]
pub(super) struct TriedServers(Mutex<Vec<Arc<ServerEntry>>>);

impl TriedServers {
    /// Chooses the best server that was not tried yet, and marks it as tried.
    fn choose_next(&self, run: SingleStatement<'_>, allow_probation: bool) -> Option<ReadTarget> {
        let mut tried = self.0.lock().unwrap();
        let target = choose_read_target(run.direct, run.route, &tried, allow_probation)?;
        tried.push(target.server.clone());
        Some(target)
    }

    fn count(&self) -> usize {
        self.0.lock().unwrap().len()
    }

    fn clear(&self) {
        self.0.lock().unwrap().clear();
    }
}

/// The result of one attempt.
enum Attempt {
    Finished(StatementResponse),
    /// The server stopped being the primary, or the client's key was revoked, before anything was sent.
    NotStarted,
    /// The attempt failed with this error, and another server may run the read.
    Retry(Error),
}

/// Runs a read on any eligible server of its group, trying one after the other.
pub(super) async fn run_on_any_server(run: SingleStatement<'_>, tried: &TriedServers) -> StatementResponse {
    let deadlines = run.route.deadlines();
    let mut backoff = Backoff::default();
    let mut last_error = ErrorCode::AllReplicasEjected.without_detail();
    loop {
        if let Err(error) = run.direct.check_tenant(run.route) {
            return StatementResponse::failed(error, TransactionState::Idle);
        }
        let Some(target) = tried.choose_next(run, backoff.is_first_attempt()) else {
            if deadlines.start_deadline_passed() || tried.count() > MAX_SERVERS {
                return retries_exhausted(last_error);
            }
            tried.clear();
            backoff.pause().await;
            continue;
        };
        match attempt(run, &target, deadlines).await {
            Attempt::Finished(response) => return response,
            Attempt::NotStarted => {}
            Attempt::Retry(error) => last_error = error,
        }
        if deadlines.start_deadline_passed() {
            return retries_exhausted(last_error);
        }
    }
}

fn retries_exhausted(last_error: Error) -> StatementResponse {
    let error = last_error.with_retry_after(RETRY_AFTER_REJECTION);
    StatementResponse::failed(error, TransactionState::Idle)
}

async fn attempt(run: SingleStatement<'_>, target: &ReadTarget, deadlines: Deadlines) -> Attempt {
    let SingleStatement { direct, route, settings, .. } = run;
    let server = &target.server;
    let context = CallContext::new(direct, server, route);
    let request = CheckoutRequest::new(route, settings, deadlines.start_by);
    let mut checkout = match check_out(direct, server, request).await {
        Ok(checkout) => checkout,
        Err(error) => return Attempt::Retry(error.code().without_detail()),
    };
    if let Err(error) = run.admission.wait().await {
        checkout.check_in();
        return Attempt::Finished(StatementResponse::failed(error, TransactionState::Idle));
    }
    let was_replaced = target.is_primary() && fence_if_accepting(direct, &route.group, server).is_none();
    // The client's key may have been revoked while the read waited.
    if was_replaced || direct.check_tenant(route).is_err() {
        checkout.check_in();
        return Attempt::NotStarted;
    }
    let sent_at = now();
    let execution = Execution::single(run, target.floor, deadlines.finish_by);
    match checkout.connection.execute(&context, &execution).await {
        StatementAttempt::Replied(reply) => {
            record_primary_position(direct, route, server, sent_at, &reply);
            if leaves_idle(&reply) {
                checkout.check_in();
            }
            handle_reply(reply, deadlines)
        }
        StatementAttempt::Unanswered(error @ ConnectionError::TimedOut) => {
            Attempt::Finished(StatementResponse::failed(unanswered_error(&error), TransactionState::Idle))
        }
        StatementAttempt::NotSent(error) | StatementAttempt::Unanswered(error) => {
            Attempt::Retry(unanswered_error(&error))
        }
    }
}

fn handle_reply(reply: ServerReply, deadlines: Deadlines) -> Attempt {
    match reject_reason(&reply) {
        Some(reason) if was_not_run(reason) => Attempt::Retry(rejection_error(reason)),
        // A failed read changed nothing, so another server may run it.
        Some(RejectReason::Failed) if !deadlines.start_deadline_passed() => {
            Attempt::Retry(ErrorCode::ServerRejected.without_detail())
        }
        _ => Attempt::Finished(StatementResponse::from_reply(reply, TransactionState::Idle)),
    }
}
