//! One attempt: a request that is sent over one connection and monitored by the health detectors, also after the client
//! has abandoned it.
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

/// The time after its query timeout for which an abandoned connection counts as open, at most.
const ABANDONED_EXTRA: Millis = 5_000;
/// The timeout of a cancel request.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection that was not open after this time is evidence against the server.
const LATE_CONNECT: Duration = Duration::from_millis(500);

/// The outcome of an attempt.
pub enum AttemptOutcome {
    /// The server's own reply, and the connection.
    Reply(Reply, ServerCheckout),
    /// The connection failed. The request may have been executed.
    ConnectionFailed(ExchangeError),
    /// No reply arrived in time. A separate task waits for the end of the connection.
    TimedOut,
}

/// A request to a server, ready to be sent.
pub struct Attempt {
    /// The number of the attempt.
    pub id: u64,
    /// The connection that the request is sent over.
    pub checkout: ServerCheckout,
    /// The request.
    pub request: ServerRequest,
    /// How the reply is monitored.
    pub pending: PendingReply,
}

impl Attempt {
    /// Creates an attempt with a new number.
    pub fn new(
        services: &Services,
        checkout: ServerCheckout,
        request: ServerRequest,
        pending: PendingReply,
    ) -> Attempt {
        Attempt { id: services.next_request_id(), checkout, request, pending }
    }
}

/// Returns how the replies of a route's requests are monitored.
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

/// Sends the attempt and waits for its reply until `deadline`. When the deadline passes, `extend` may return a later
/// one.
///
/// The exchange runs in a task of its own, so that its reply reaches the health detectors even if the client
/// disconnects or the request abandons the attempt.
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

/// The result of an exchange in its task.
struct ExchangeEnd {
    /// The reply or failure; `None` if the exchange did not end within the time for an abandoned connection.
    result: Option<Result<Reply, ExchangeError>>,
    /// Whether the request had abandoned the attempt.
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
        Some(Ok(reply)) => record_reply(&services.registry, attempt, end.was_abandoned, reply, sender),
        Some(Err(error)) => {
            record_failure(&services.registry, &attempt, end.was_abandoned, &error);
            drop(attempt);
            let _ = sender.send(AttemptOutcome::ConnectionFailed(error));
        }
        None => server.health.lock().unwrap().overdue.discard(attempt.id),
    }
}

/// Waits for the reply. If the request abandons the attempt, the statement is cancelled, and the exchange waits for the
/// end of that.
async fn exchange(
    services: &Arc<Services>,
    attempt: &mut Attempt,
    sender: &mut oneshot::Sender<AttemptOutcome>,
) -> ExchangeEnd {
    let connection = attempt.checkout.connection();
    let (id, addr) = (connection.id.clone(), connection.addr.clone());
    let closed_by_us = connection.local_close_marker();
    let reply_future = connection.send(&attempt.request);
    tokio::pin!(reply_future);
    if let Ok(result) = seam::select_first(&mut reply_future, sender.closed()).await {
        return ExchangeEnd { result: Some(result), was_abandoned: false };
    }
    closed_by_us.mark_local_close();
    services.spawner.spawn(cancel(id, addr));
    let time_left = Duration::from_millis(attempt.pending.query_timeout + ABANDONED_EXTRA);
    let result = seam::timeout(time_left, &mut reply_future).await.ok();
    ExchangeEnd { result, was_abandoned: true }
}

async fn cancel(connection_id: Name, addr: Name) {
    let request = call::cancel(&connection_id);
    let _ = post_once(&addr, request.path, &request.body, CANCEL_TIMEOUT).await;
}

fn record_reply(
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
        // The reply is too late for the client, but it shows that the server is alive: a long query, not a stall.
        health.overdue.record_answer(now(), attempt.id);
    } else {
        // Ending a cancelled query requires no storage access, so it proves nothing.
        health.overdue.discard(attempt.id);
    }
}

fn record_failure(registry: &Registry, attempt: &Attempt, was_abandoned: bool, error: &ExchangeError) {
    let settings = registry.health_settings();
    let server = attempt.checkout.server();
    let ExchangeError::Connection(io_error) = error else {
        server.health.lock().unwrap().request_inconclusive(attempt.id);
        return;
    };
    let end = classify_end(io_error, server.connection_usage(true));
    let mut health = server.health.lock().unwrap();
    health.request_inconclusive(attempt.id);
    // The server may close the connection of a cancelled query, as this node requested the cancellation.
    if !was_abandoned {
        health.connection_ended(now(), &settings, end);
    }
}

/// Records a failed checkout. If the cause lies with the server, it is evidence against the server.
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
