//! Checking a connection to a server out: an idle one, a new one, or the next that comes free.
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

/// A new connection that is not open by then is given up.
const OPEN_TIMEOUT: Millis = 1_000;

/// Why there is no connection. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// None came free in time.
    Busy,
    /// The server takes no more.
    Full,
    /// It could not be opened, or another server listens at the address.
    Broke,
}

impl CheckoutError {
    /// The result code for the client.
    pub fn code(self) -> ErrorCode {
        match self {
            CheckoutError::Busy | CheckoutError::Full => ErrorCode::ConnectionsBusy,
            CheckoutError::Broke => ErrorCode::ServerFailed,
        }
    }
}

/// Which connection is wanted.
#[derive(Clone, Copy)]
pub struct CheckoutRequest<'a> {
    /// For whom statements will run on it.
    pub tenant: Option<&'a Name>,
    /// One with these settings is preferred.
    pub settings: &'a SessionSettings,
    /// Among those that wait, the lowest is served first.
    pub priority: u64,
    /// Waiting is given up then.
    pub until: Millis,
}

impl<'a> CheckoutRequest<'a> {
    /// For statements that follow a route.
    pub(super) fn new(route: &'a ResolvedRoute, settings: &'a SessionSettings, until: Millis) -> Self {
        CheckoutRequest { tenant: route.tenant.as_ref(), settings, priority: route.priority, until }
    }
}

/// Checks a connection to `server` out. One that another tenant used is never handed out: a server learns the tenant
/// once, when the connection is opened.
///
/// # Errors
/// A [`CheckoutError`]; also when opening a connection failed, as the caller may prefer another server then.
pub async fn check_out(
    direct: &DirectProxy,
    server: &Arc<ServerEntry>,
    request: CheckoutRequest<'_>,
) -> Result<Checkout, CheckoutError> {
    let CheckoutRequest { tenant, settings, priority, until } = request;
    let pool = &server.direct_pool;
    let max = direct.connection_share(&server.group()).max;
    loop {
        if let Some(checkout) = check_out_idle(direct, server, tenant, settings) {
            return Ok(checkout);
        }
        let permit = match pool.reserve(max, priority, tenant) {
            Reservation::Granted(permit) => permit,
            Reservation::Queued(waiter) => match wait(pool, waiter, until).await {
                Some(Handover { connection: Some(connection), permit }) => {
                    return Ok(Checkout::new(connection, permit));
                }
                Some(Handover { connection: None, permit }) => permit,
                None if now() >= until => return Err(CheckoutError::Busy),
                None => continue,
            },
        };
        let connection = open(direct, server, tenant).await?;
        return Ok(Checkout::new(connection, permit));
    }
}

/// An idle connection. Those that broke meanwhile are evidence about the server.
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

/// Waits for a handover until `until`, or until it is time to try again.
async fn wait(pool: &DirectPool, mut waiter: Waiter, until: Millis) -> Option<Handover> {
    let wake_at = waiter.retry_at.map_or(until, |retry_at| until.min(retry_at));
    let left = Duration::from_millis(wake_at.saturating_sub(now()).max(1));
    if let Ok(Ok(handover)) = seam::timeout(left, &mut waiter.receiver).await {
        return Some(handover);
    }
    pool.cancel_waiter(waiter.key);
    // It may have come at the very moment at which the time was over.
    waiter.receiver.try_recv().ok()
}

async fn open(
    direct: &DirectProxy,
    server: &Arc<ServerEntry>,
    tenant: Option<&Name>,
) -> Result<Connection, CheckoutError> {
    let asked_at = now();
    let opening = direct.servers.connect(ConnectRequest {
        addr: server.addr(),
        group: server.group(),
        server: server.name.clone(),
        tenant: tenant.cloned(),
        keepalive: direct.keepalive_settings(),
    });
    match seam::timeout(Duration::from_millis(OPEN_TIMEOUT), opening).await {
        Ok(Ok(Ok(opened))) => {
            server.note_answer(asked_at);
            direct.open_counts.record_opened();
            server.direct_pool.note_opened();
            Ok(Connection::new(opened.connection, tenant.cloned()))
        }
        Ok(Ok(Err(rejection))) => Err(note_rejection(direct, server, asked_at, rejection.reason)),
        Ok(Err(error)) => {
            note_open_error(direct, server, asked_at, &error);
            Err(CheckoutError::Broke)
        }
        Err(_) => {
            direct.open_counts.record_failed();
            server.note_failure(asked_at, false);
            add_evidence(direct, server, HealthSignal::Unresponsive);
            Err(CheckoutError::Broke)
        }
    }
}

/// The server rejected the connection.
fn note_rejection(
    direct: &DirectProxy,
    server: &ServerEntry,
    asked_at: Millis,
    reason: RejectReason,
) -> CheckoutError {
    match reason {
        RejectReason::TooManyConnections => {
            direct.open_counts.record_full();
            server.direct_pool.note_full(now());
            CheckoutError::Full
        }
        RejectReason::Busy => {
            server.direct_pool.note_congested(now());
            CheckoutError::Busy
        }
        _ => {
            // Another server has the address by now.
            server.note_failure(asked_at, true);
            add_evidence(direct, server, HealthSignal::Reset);
            CheckoutError::Broke
        }
    }
}

fn note_open_error(direct: &DirectProxy, server: &ServerEntry, asked_at: Millis, error: &io::Error) {
    direct.open_counts.record_failed();
    server.note_failure(asked_at, error.kind() == io::ErrorKind::ConnectionRefused);
    let health_settings = direct.proxy.health_settings();
    let end = classify_end(error, server.connection_usage(true));
    server.health.lock().unwrap().connection_ended(now(), &health_settings, end);
}

fn add_evidence(direct: &DirectProxy, server: &ServerEntry, signal: HealthSignal) {
    let health_settings = direct.proxy.health_settings();
    server.health.lock().unwrap().add_evidence(now(), &health_settings, signal);
}
