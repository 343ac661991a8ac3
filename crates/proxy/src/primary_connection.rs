//! Connects to a group's primary and applies the request's session setup to the connection.
use crate::attempt::record_checkout_error;
use crate::client_api::reply::SITE_PRIMARY;
use crate::client_api::request::ClientRequest;
use crate::pool::slots::ConnectionUse;
use crate::pool::{CheckoutError, CheckoutRequest, PoolLimits, check_out};
use crate::rejections::rejection_error;
use crate::routing::registry::{Registry, ServerCheckout, ServerEntry};
use crate::services::Services;
use quincehatch_core::{Error, ErrorCode, FencingToken, Millis};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// The time at the end of a deadline that is reserved for the reply to the client.
pub const REPLY_RESERVE: Millis = 40;
/// The longest time that a request waits while the primary changes. A change takes either less than this or several
/// seconds.
const MAX_WAIT_FOR_PRIMARY: Millis = 900;
/// How often a waiting request checks for a primary.
const PRIMARY_POLL: Duration = Duration::from_millis(5);
/// The maximum number of attempts to connect to the primary.
const MAX_ATTEMPTS: usize = 3;
/// Suggested wait before a client retries after no primary was available.
const NO_PRIMARY_RETRY_AFTER: Millis = 1_000;
/// Suggested wait before a client retries after no connection could be opened.
const CONNECT_RETRY_AFTER: Millis = 500;
/// Suggested wait before a client retries after the queue was full.
const QUEUE_RETRY_AFTER: Millis = 200;

/// A group's primary.
pub struct Primary {
    /// The server.
    pub server: Arc<ServerEntry>,
    /// The fence under which it is primary.
    pub fence: FencingToken,
}

/// A connection to a group's primary.
pub struct PrimaryConnection {
    /// The connection.
    pub checkout: ServerCheckout,
    /// The fence under which the server is primary.
    pub fence: FencingToken,
}

/// Returns the primary of the request's group if the placement includes it and it accepts work.
pub fn primary(registry: &Registry, request: &ClientRequest) -> Result<Primary, Error> {
    let assignment =
        registry.primary(&request.group).ok_or_else(|| no_primary("no primary was assigned yet"))?;
    let name = assignment.server.ok_or_else(|| no_primary("the primary is changing"))?;
    let server = registry.server(&name).ok_or_else(|| no_primary("the primary is unknown to this node"))?;
    if !placement_includes(request, &server) {
        return Err(no_primary("the placement does not include the primary"));
    }
    if server.is_draining() {
        return Err(no_primary("the primary is draining"));
    }
    if !server.answered_recently() {
        return Err(no_primary("the primary has not answered STATUS for 3 s"));
    }
    Ok(Primary { server, fence: assignment.fence })
}

fn no_primary(detail: &str) -> Error {
    ErrorCode::NoPrimary.with_detail(detail).with_retry_after(NO_PRIMARY_RETRY_AFTER)
}

fn placement_includes(request: &ClientRequest, server: &ServerEntry) -> bool {
    let Some(configuration) = &request.cluster_state.configuration else { return false };
    let Some(placement) = configuration.placement(&request.site.placement) else { return false };
    configuration.placement_includes(placement, &server.heartbeat.read().unwrap().labels)
}

/// Returns the primary. While the primary changes, the request waits for it, until its deadline and in a bounded queue.
/// Nothing has been sent, so an error is final and is returned as soon as the wait is over.
async fn wait_for_primary(registry: &Registry, request: &mut ClientRequest) -> Result<Primary, Error> {
    let until = (now() + MAX_WAIT_FOR_PRIMARY).min(request.deadline.saturating_sub(2 * REPLY_RESERVE));
    let mut queue_slot = None;
    loop {
        let found = primary(registry, request);
        if found.is_ok() || !is_changing(registry, &request.group) || now() >= until {
            return found;
        }
        if queue_slot.is_none() {
            let configuration = request.cluster_state.configuration.as_ref();
            let capacity = configuration.map_or(0, |configuration| configuration.queue.max_waiting as usize);
            request.add_step("queued while the primary changes");
            let slot = registry.in_flight.enter_queue(&request.group, capacity);
            let queue_full = || ErrorCode::QueueFull.without_detail().with_retry_after(QUEUE_RETRY_AFTER);
            queue_slot = Some(slot.ok_or_else(queue_full)?);
        }
        seam::sleep(PRIMARY_POLL).await;
    }
}

/// Whether no server is assigned as primary, or the assigned one is draining.
fn is_changing(registry: &Registry, group: &str) -> bool {
    let Some(assignment) = registry.primary(group) else { return false };
    let Some(name) = &assignment.server else { return true };
    registry.server(name).is_some_and(|server| server.is_draining())
}

/// Connects to the primary and applies the request's session setup. Nothing of the request has been sent yet.
pub async fn connect_to_primary(
    services: &Arc<Services>,
    request: &mut ClientRequest,
) -> Result<PrimaryConnection, Error> {
    let configuration = request.configuration()?;
    let session = request.session_state();
    let mut last_error = ErrorCode::ConnectionsBusy.without_detail();
    for _ in 0..MAX_ATTEMPTS {
        let Primary { server, fence } = wait_for_primary(&services.registry, request).await?;
        request.set_site(&server, SITE_PRIMARY);
        let checkout_request = CheckoutRequest {
            node: &services.settings.name,
            usage: ConnectionUse::Write,
            limits: PoolLimits::of_primary(&configuration),
            setup: &session.setup(),
            deadline: request.deadline,
        };
        let mut checkout = match check_out(&server, &checkout_request).await {
            Ok(checkout) => checkout,
            Err(CheckoutError::Busy(error)) => return Err(error),
            Err(error) => {
                record_checkout_error(&services.registry, &server, &error);
                request.add_step(format!("no connection to {}", server.name));
                last_error = ErrorCode::ServerFailed
                    .with_detail("no connection to the primary could be opened")
                    .with_retry_after(CONNECT_RETRY_AFTER);
                continue;
            }
        };
        match checkout.connection().apply_session(&session, request.deadline).await {
            Ok(None) => return Ok(PrimaryConnection { checkout, fence }),
            Ok(Some(rejection)) => return Err(rejection_error(&rejection)),
            Err(error) => last_error = error.to_error().with_retry_after(CONNECT_RETRY_AFTER),
        }
    }
    Err(last_error)
}
