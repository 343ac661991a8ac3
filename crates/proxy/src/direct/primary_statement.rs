//! Statements on the primary: writes, and reads of routes that only the primary may serve.
use super::acknowledgement::{SentCommit, commit_response};
use super::check_out::{CheckoutRequest, check_out};
use super::connection::ConnectionError;
use super::monitored_call::CallContext;
use super::pool::Checkout;
use super::replies::{
    RETRY_AFTER_REJECTION, in_doubt_error, leaves_idle, record_primary_position, reject_reason,
    rejection_error, unanswered_error, was_not_run,
};
use super::response::StatementResponse;
use super::retry::Backoff;
use super::route::Deadlines;
use super::server_choice::{fence_if_accepting, wait_for_primary};
use super::statement::{Execution, SingleStatement, StatementAttempt};
use crate::ports::{RejectReason, ServerReply, TransactionState};
use crate::registry::ServerEntry;
use quincehatch_core::{Error, ErrorCode};
use quincehatch_runtime::{now, seam};

/// The result of one attempt.
enum Attempt {
    Finished(StatementResponse),
    /// The server stopped being the primary, or the client's key was revoked, before anything was sent.
    NotStarted,
    /// No connection was available, or the server rejected the statement. Nothing was run.
    Rejected(Error),
    /// The connection failed, and nothing can have been committed. The connection is closed after the backoff pause.
    Disconnected {
        error: Error,
        checkout: Checkout,
    },
}

/// Runs a statement on the primary, and retries it as long as no attempt can have committed anything.
pub(super) async fn run_on_primary(run: SingleStatement<'_>) -> StatementResponse {
    let deadlines = run.route.deadlines();
    let mut backoff = Backoff::default();
    let mut last_error = ErrorCode::ConnectionsBusy.without_detail();
    loop {
        if let Err(error) = run.direct.check_tenant(run.route) {
            return StatementResponse::failed(error, TransactionState::Idle);
        }
        // Counted as in flight before the primary is looked up, so that a primary handover either waits for this
        // statement, or is seen by the lookup.
        let in_flight = run.direct.proxy.registry.in_flight.begin(&run.route.group);
        let mut disconnected = None;
        match attempt(run, deadlines).await {
            Attempt::Finished(response) => return response,
            Attempt::NotStarted => {}
            Attempt::Rejected(error) => last_error = error,
            Attempt::Disconnected { error, checkout } => {
                last_error = error;
                disconnected = Some(checkout);
            }
        }
        drop(in_flight);
        if deadlines.start_deadline_passed() {
            let error = last_error.with_retry_after(RETRY_AFTER_REJECTION);
            return StatementResponse::failed(error, TransactionState::Idle);
        }
        backoff.pause().await;
        drop(disconnected);
    }
}

async fn attempt(run: SingleStatement<'_>, deadlines: Deadlines) -> Attempt {
    let SingleStatement { direct, route, settings, .. } = run;
    let server = match wait_for_primary(direct, &route.group, deadlines.start_by).await {
        Ok(server) => server,
        Err(error) => {
            return Attempt::Finished(StatementResponse::failed(error, TransactionState::Idle));
        }
    };
    let context = CallContext::new(direct, &server, route);
    let request = CheckoutRequest::new(route, settings, deadlines.start_by);
    let mut checkout = match check_out(direct, &server, request).await {
        Ok(checkout) => checkout,
        Err(error) => return Attempt::Rejected(error.code().without_detail()),
    };
    if let Err(error) = run.admission.wait().await {
        checkout.check_in();
        return Attempt::Finished(StatementResponse::failed(error, TransactionState::Idle));
    }
    let fence = fence_if_accepting(direct, &route.group, &server);
    // The client's key may have been revoked while the statement waited.
    let Some(fence) = fence.filter(|_| direct.check_tenant(route).is_ok()) else {
        checkout.check_in();
        return Attempt::NotStarted;
    };
    let after = direct.proxy.registry.observed_end(&route.group);
    let sent_at = now();
    let execution = Execution::single(run, None, deadlines.finish_by);
    match checkout.connection.execute(&context, &execution).await {
        StatementAttempt::Replied(reply) => {
            record_primary_position(direct, route, &server, sent_at, &reply);
            if leaves_idle(&reply) {
                checkout.check_in();
            }
            let sent = SentCommit { fence, after, finish_by: deadlines.finish_by };
            handle_reply(run, &server, sent, reply).await
        }
        StatementAttempt::NotSent(error) => {
            Attempt::Disconnected { error: unanswered_error(&error), checkout }
        }
        StatementAttempt::Unanswered(error) => handle_no_answer(run, &error, checkout),
    }
}

async fn handle_reply(
    run: SingleStatement<'_>,
    server: &ServerEntry,
    sent: SentCommit,
    reply: ServerReply,
) -> Attempt {
    if let Some(reason) = reject_reason(&reply).filter(|reason| was_not_run(*reason)) {
        if reason == RejectReason::NotPrimary {
            server.record_not_primary(now());
        }
        return Attempt::Rejected(rejection_error(reason));
    }
    if run.statement.write {
        let response = commit_response(run.direct, run.route, sent, reply).await;
        return Attempt::Finished(response);
    }
    Attempt::Finished(StatementResponse::from_reply(reply, TransactionState::Idle))
}

/// Returns the result of an attempt whose statement was sent and got no reply. A write is not retried, as it may have
/// been committed, and after a timeout there is no time for another attempt.
fn handle_no_answer(run: SingleStatement<'_>, error: &ConnectionError, checkout: Checkout) -> Attempt {
    let timed_out = matches!(error, ConnectionError::TimedOut);
    let resend_write = seam::injected_bug("held-resend") && !timed_out;
    if run.statement.write && !resend_write {
        return Attempt::Finished(StatementResponse::failed(in_doubt_error(error), TransactionState::Idle));
    }
    if timed_out {
        return Attempt::Finished(StatementResponse::failed(unanswered_error(error), TransactionState::Idle));
    }
    Attempt::Disconnected { error: unanswered_error(error), checkout }
}
