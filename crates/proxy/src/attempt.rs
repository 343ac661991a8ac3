//! One attempt: a request sent over one connection, watched by the health detectors, and given up without losing what its
//! reply would tell them.
use crate::health::evidence::{HealthSignal, classify_end};
use crate::health::overdue_replies::PendingReply;
use crate::health::state::HealthState;
use crate::pool::CheckoutError;
use crate::pool::connection::ExchangeError;
use crate::routing::registry::{Registry, ServerCheckout, ServerEntry};
use crate::server_protocol::{Reply, ServerRequest, call};
use crate::services::Services;
use quincehatch_config::configuration::{Configuration, Route};
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::post_once;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// An abandoned connection counts as open this long after its query timeout, at most.
const ABANDONED_EXTRA: Millis = 5_000;
/// How long a cancel request may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection that was not open after this long is evidence against the server.
const LATE_CONNECT: Duration = Duration::from_millis(500);

/// What came of an attempt.
pub enum AttemptOutcome {
    /// The server's own reply, and the connection.
    Reply(Reply, ServerCheckout),
    /// The connection failed; what was sent may have been done.
    ConnectionFailed(ExchangeError),
    /// No reply in time; a task of its own waits for the connection's end.
    TimedOut,
}

/// A request to a server, ready to be sent.
pub struct Attempt {
    /// Number of the attempt.
    pub id: u64,
    /// The connection it is sent over.
    pub checkout: ServerCheckout,
    /// What is sent.
    pub request: ServerRequest,
    /// How its reply is watched.
    pub pending: PendingReply,
}

impl Attempt {
    /// A new attempt.
    pub fn new(
        services: &Services,
        checkout: ServerCheckout,
        request: ServerRequest,
        pending: PendingReply,
    ) -> Attempt {
        Attempt { id: services.next_request_id(), checkout, request, pending }
    }
}

/// How the replies of a route's requests are watched.
pub fn pending_reply(configuration: &Configuration, route: &Route) -> PendingReply {
    PendingReply {
        timeout: route.timeout_ms,
        query_timeout: route.query_timeout_ms.unwrap_or(configuration.health.query_timeout_ms),
        long_running: route.long_running,
        first_attempt: true,
    }
}

/// Sends the attempt and waits for its reply until `deadline`.
pub async fn send(services: &Arc<Services>, attempt: Attempt, deadline: Millis) -> AttemptOutcome {
    send_with_extension(services, attempt, deadline, || None).await
}

/// The same; when the time is over, `extend` may give it more.
///
/// The exchange goes on in a task of its own, so that neither a client that hangs up nor a request that gives up loses
/// what the reply would tell the detectors.
pub async fn send_with_extension(
    services: &Arc<Services>,
    attempt: Attempt,
    mut deadline: Millis,
    extend: impl Fn() -> Option<Millis>,
) -> AttemptOutcome {
    let (sender, mut receiver) = oneshot::channel();
    services.spawner.spawn(run_exchange(services.clone(), attempt, sender));
    loop {
        let left = Duration::from_millis(deadline.saturating_sub(now()));
        match seam::timeout(left, &mut receiver).await {
            Ok(Ok(outcome)) => return outcome,
            Ok(Err(_)) => return AttemptOutcome::TimedOut,
            Err(_) => match extend() {
                Some(later) => deadline = later,
                None => return AttemptOutcome::TimedOut,
            },
        }
    }
}

/// How an exchange ended, seen from its task.
struct ExchangeEnd {
    /// `None`: it did not end in the time that an abandoned connection has.
    result: Option<Result<Reply, ExchangeError>>,
    /// Nobody waited for the reply any more.
    was_abandoned: bool,
}

async fn run_exchange(
    services: Arc<Services>,
    mut attempt: Attempt,
    mut sender: oneshot::Sender<AttemptOutcome>,
) {
    let server = attempt.checkout.server().clone();
    server.health.lock().unwrap().overdue.record_sent(now(), attempt.id, attempt.pending);
    let end = exchange(&services, &mut attempt, &mut sender).await;
    match end.result {
        Some(Ok(reply)) => note_reply(&services.registry, attempt, end.was_abandoned, reply, sender),
        Some(Err(error)) => {
            note_failure(&services.registry, &attempt, end.was_abandoned, &error);
            drop(attempt);
            let _ = sender.send(AttemptOutcome::ConnectionFailed(error));
        }
        None => server.health.lock().unwrap().overdue.forget(attempt.id),
    }
}

/// Waits for the reply. Once nobody else waits for it the statement is cancelled, and the end of that is waited for.
async fn exchange(
    services: &Arc<Services>,
    attempt: &mut Attempt,
    sender: &mut oneshot::Sender<AttemptOutcome>,
) -> ExchangeEnd {
    let connection = attempt.checkout.connection();
    let (id, addr) = (connection.id.clone(), connection.addr.clone());
    let closed_by_us = connection.local_close_marker();
    let sending = connection.send(&attempt.request);
    tokio::pin!(sending);
    if let Ok(result) = seam::select_first(&mut sending, sender.closed()).await {
        return ExchangeEnd { result: Some(result), was_abandoned: false };
    }
    closed_by_us.mark();
    services.spawner.spawn(cancel(id, addr));
    let time_left = Duration::from_millis(attempt.pending.query_timeout + ABANDONED_EXTRA);
    let result = seam::timeout(time_left, &mut sending).await.ok();
    ExchangeEnd { result, was_abandoned: true }
}

async fn cancel(connection_id: Name, addr: Name) {
    let request = call::cancel(&connection_id);
    let _ = post_once(&addr, request.path, &request.body, CANCEL_TIMEOUT).await;
}

fn note_reply(
    registry: &Registry,
    attempt: Attempt,
    was_abandoned: bool,
    reply: Reply,
    sender: oneshot::Sender<AttemptOutcome>,
) {
    let settings = registry.health_settings();
    let server = attempt.checkout.server().clone();
    let mut health = server.health.lock().unwrap();
    if !was_abandoned {
        health.request_succeeded(now(), &settings, attempt.id);
        drop(health);
        let _ = sender.send(AttemptOutcome::Reply(reply, attempt.checkout));
    } else if reply.error.is_none() {
        // Too late for the client, but the server is alive: a long query, not a stall.
        health.overdue.record_answer(now(), attempt.id);
    } else {
        // To end a cancelled query needs no storage, so it proves nothing.
        health.overdue.forget(attempt.id);
    }
}

fn note_failure(registry: &Registry, attempt: &Attempt, was_abandoned: bool, error: &ExchangeError) {
    let settings = registry.health_settings();
    let server = attempt.checkout.server();
    let ExchangeError::Connection(io_error) = error else {
        server.health.lock().unwrap().request_inconclusive(attempt.id);
        return;
    };
    let end = classify_end(io_error, server.connection_usage(true));
    let mut health = server.health.lock().unwrap();
    health.request_inconclusive(attempt.id);
    // A cancelled query's connection may be closed by the server: that is what this side asked for.
    if !was_abandoned {
        health.connection_ended(now(), &settings, end);
    }
}

/// No connection could be had: if the reason lies with the server, that is evidence.
pub fn record_checkout_error(registry: &Registry, server: &ServerEntry, error: &CheckoutError) {
    let settings = registry.health_settings();
    let mut health = server.health.lock().unwrap();
    if health.state == HealthState::Ejected {
        return;
    }
    match error {
        CheckoutError::ConnectFailed(io_error) => {
            let end = classify_end(io_error, server.connection_usage(false));
            health.connection_ended(now(), &settings, end);
        }
        CheckoutError::TimedOut(took) if *took >= LATE_CONNECT => {
            health.add_evidence(now(), &settings, HealthSignal::Late);
        }
        CheckoutError::TimedOut(_) | CheckoutError::Busy(_) => {}
    }
}
