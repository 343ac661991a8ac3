//! Checks out a connection to a server: an idle one, a new one, or the next one that is released.
use super::DirectProxy;
use super::connection::{Connection, SessionSettings};
use super::pool::{Checkout, DirectPool, Handover, IdleConnection, Reservation, Waiter};
use super::route::ResolvedRoute;
use crate::evidence::{HealthSignal, classify_end};
use crate::ports::{ConnectRequest, RejectReason};
use crate::registry::ServerEntry;
use quincehatch_core::{ErrorCode, Millis, Name};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// How long to wait for a new connection to open before the attempt is abandoned.
const OPEN_TIMEOUT: Millis = 1_000;

/// Why no connection could be checked out. No call was sent to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// No connection was released in time, or the server rejected a new one because it is busy.
    Busy,
    /// The server's connection limit is reached.
    Full,
    /// The connection could not be opened, or another server listens at the address.
    Broke,
}

impl CheckoutError {
    /// Returns the error code for the client.
    pub fn code(self) -> ErrorCode {
        match self {
            CheckoutError::Busy | CheckoutError::Full => ErrorCode::ConnectionsBusy,
            CheckoutError::Broke => ErrorCode::ServerFailed,
        }
    }
}

/// The properties of the connection to check out.
#[derive(Clone, Copy)]
pub struct CheckoutRequest<'a> {
    /// The tenant whose statements will run on it.
    pub tenant: Option<&'a Name>,
    /// An idle connection with these settings is preferred.
    pub settings: &'a SessionSettings,
    /// The priority in the queue; lower numbers are served first.
    pub priority: u64,
    /// The time after which waiting ends with [`CheckoutError::Busy`].
    pub deadline: Millis,
}

impl<'a> CheckoutRequest<'a> {
    /// Creates the request for statements of a route.
    pub(super) fn new(route: &'a ResolvedRoute, settings: &'a SessionSettings, deadline: Millis) -> Self {
        CheckoutRequest { tenant: route.tenant.as_ref(), settings, priority: route.priority, deadline }
    }
}

/// Checks out a connection to `server`. A connection of another tenant is never returned, because the tenant is sent to
/// the server only once, when the connection is opened.
///
/// # Errors
/// A [`CheckoutError`]. A failed attempt to open a connection is not retried here, as the caller may prefer another
/// server.
pub async fn check_out(
    direct: &DirectProxy,
    server: &Arc<ServerEntry>,
    request: CheckoutRequest<'_>,
) -> Result<Checkout, CheckoutError> {
    let CheckoutRequest { tenant, settings, priority, deadline } = request;
    let pool = &server.direct_pool;
    let max = direct.connection_share(&server.group()).max;
    loop {
        if let Some(checkout) = check_out_idle(direct, server, tenant, settings) {
            return Ok(checkout);
        }
        let permit = match pool.reserve(max, priority, tenant) {
            Reservation::Granted(permit) => permit,
            Reservation::Queued(waiter) => match wait_for_handover(pool, waiter, deadline).await {
                Some(Handover { connection: Some(connection), permit }) => {
                    return Ok(Checkout::new(connection, permit));
                }
                Some(Handover { connection: None, permit }) => permit,
                None if now() >= deadline => return Err(CheckoutError::Busy),
                None => continue,
            },
        };
        let connection = open(direct, server, tenant).await?;
        return Ok(Checkout::new(connection, permit));
    }
}

/// Checks out an idle connection, if there is one. Connections that broke while idle count as health evidence against
/// the server.
fn check_out_idle(
    direct: &DirectProxy,
    server: &Arc<ServerEntry>,
    tenant: Option<&Name>,
    settings: &SessionSettings,
) -> Option<Checkout> {
    loop {
        match server.direct_pool.take_idle(tenant, settings) {
            IdleConnection::Usable(checkout) => return Some(checkout),
            IdleConnection::None => return None,
            IdleConnection::Broken(error) => {
                let health_settings = direct.proxy.health_settings();
                let end = classify_end(&error, server.connection_usage(false));
                server.health.lock().unwrap().connection_ended(now(), &health_settings, end);
            }
        }
    }
}

/// Waits for a handover until `deadline` or the waiter's `retry_at`, whichever comes first.
async fn wait_for_handover(pool: &DirectPool, mut waiter: Waiter, deadline: Millis) -> Option<Handover> {
    let wake_at = waiter.retry_at.map_or(deadline, |retry_at| deadline.min(retry_at));
    let left = Duration::from_millis(wake_at.saturating_sub(now()).max(1));
    if let Ok(Ok(handover)) = seam::timeout(left, &mut waiter.receiver).await {
        return Some(handover);
    }
    pool.cancel_waiter(waiter.key);
    // The handover may have been sent between the timeout and the removal from the queue.
    waiter.receiver.try_recv().ok()
}

async fn open(
    direct: &DirectProxy,
    server: &Arc<ServerEntry>,
    tenant: Option<&Name>,
) -> Result<Connection, CheckoutError> {
    let started_at = now();
    let opening = direct.servers.connect(ConnectRequest {
        addr: server.addr(),
        group: server.group(),
        server: server.name.clone(),
        tenant: tenant.cloned(),
        keepalive: direct.keepalive_settings(),
    });
    match seam::timeout(Duration::from_millis(OPEN_TIMEOUT), opening).await {
        Ok(Ok(Ok(opened))) => {
            server.record_answer(started_at);
            direct.open_counts.record_opened();
            server.direct_pool.record_connection_opened();
            Ok(Connection::new(opened.connection, tenant.cloned()))
        }
        Ok(Ok(Err(rejection))) => Err(record_rejection(direct, server, started_at, rejection.reason)),
        Ok(Err(error)) => {
            record_open_error(direct, server, started_at, &error);
            Err(CheckoutError::Broke)
        }
        Err(_) => {
            direct.open_counts.record_failed();
            server.record_failure(started_at, false);
            add_evidence(direct, server, HealthSignal::Unresponsive);
            Err(CheckoutError::Broke)
        }
    }
}

/// Records that the server rejected the connection, and returns the error for the caller.
fn record_rejection(
    direct: &DirectProxy,
    server: &ServerEntry,
    started_at: Millis,
    reason: RejectReason,
) -> CheckoutError {
    match reason {
        RejectReason::TooManyConnections => {
            direct.open_counts.record_full();
            server.direct_pool.record_connection_rejected(now());
            CheckoutError::Full
        }
        RejectReason::Busy => {
            server.direct_pool.record_congestion(now());
            CheckoutError::Busy
        }
        _ => {
            // Another server has taken over the address.
            server.record_failure(started_at, true);
            add_evidence(direct, server, HealthSignal::Reset);
            CheckoutError::Broke
        }
    }
}

fn record_open_error(direct: &DirectProxy, server: &ServerEntry, started_at: Millis, error: &io::Error) {
    direct.open_counts.record_failed();
    server.record_failure(started_at, error.kind() == io::ErrorKind::ConnectionRefused);
    let health_settings = direct.proxy.health_settings();
    let end = classify_end(error, server.connection_usage(true));
    server.health.lock().unwrap().connection_ended(now(), &health_settings, end);
}

fn add_evidence(direct: &DirectProxy, server: &ServerEntry, signal: HealthSignal) {
    let health_settings = direct.proxy.health_settings();
    server.health.lock().unwrap().add_evidence(now(), &health_settings, signal);
}
