//! Reads that must run on the primary. They run under the node's lease and the primary's fence, so that they include
//! everything that was acknowledged before.
use crate::attempt::{Attempt, AttemptOutcome, pending_reply, send};
use crate::client_api::reply::RequestResult;
use crate::client_api::request::ClientRequest;
use crate::primary_connection::{PrimaryConnection, REPLY_RESERVE, connect_to_primary};
use crate::rejections::rejection_error;
use crate::routing::registry::Registry;
use crate::server_protocol::{Reply, STARTING, call};
use crate::services::Services;
use quincehatch_core::{ErrorCode, FencingToken, Millis};
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// Suggested wait before a client retries after the server failed or did not answer in time.
const FAILED_RETRY_AFTER: Millis = 500;
/// Suggested wait before a client retries after the primary changed.
const CHANGED_RETRY_AFTER: Millis = 200;
/// The pause before a request is sent again to a server that is starting.
const STARTING_PAUSE: Duration = Duration::from_millis(40);

/// Runs a read on the primary, outside a transaction.
pub async fn read_on_primary(services: &Arc<Services>, request: &mut ClientRequest) -> RequestResult {
    let (configuration, route) = request.configuration_and_route()?;
    let pending = pending_reply(&configuration, &route);
    loop {
        let PrimaryConnection { mut checkout, fence } = connect_to_primary(services, request).await?;
        let connection_id = &checkout.connection().id;
        let server_request = call::run(connection_id, request.text(), &request.body.params);
        let attempt = Attempt::new(services, checkout, server_request, pending);
        match send(services, attempt, request.deadline).await {
            AttemptOutcome::Reply(reply, checkout) => {
                checkout.check_in();
                if waits_for_start(request, &reply).await {
                    continue;
                }
                return read_reply(&services.registry, request, fence, &reply);
            }
            AttemptOutcome::ConnectionFailed(error) => {
                return Err(error.to_error().with_retry_after(FAILED_RETRY_AFTER));
            }
            AttemptOutcome::TimedOut => {
                let error = ErrorCode::DeadlinePassed.without_detail();
                return Err(error.with_retry_after(FAILED_RETRY_AFTER));
            }
        }
    }
}

/// Returns whether the request is to be sent again, because the server was starting and time is left. In that case it
/// waits first.
pub async fn waits_for_start(request: &mut ClientRequest, reply: &Reply) -> bool {
    let should_retry = reply.has_error_code(STARTING) && request.time_left() > 2 * REPLY_RESERVE;
    if should_retry {
        request.add_step(format!("{} is starting", request.site.server));
        seam::sleep(STARTING_PAUSE).await;
    }
    should_retry
}

/// Returns the result of a read on the primary, which is valid only if the node still has its lease and the primary has
/// not changed.
pub fn read_reply(
    registry: &Registry,
    request: &ClientRequest,
    fence: FencingToken,
    reply: &Reply,
) -> RequestResult {
    if reply.error.is_some() {
        return Err(rejection_error(reply));
    }
    let is_still_primary = registry.primary(&request.group).is_some_and(|primary| {
        primary.fence == fence && primary.server.as_ref() == Some(&request.site.server)
    });
    if !registry.has_lease() || !is_still_primary || reply.stamp.fence != fence {
        return Err(ErrorCode::NoPrimary
            .with_detail("the primary changed during the read")
            .with_retry_after(CHANGED_RETRY_AFTER));
    }
    reply.success_of(&request.site.server).ok_or_else(|| ErrorCode::InvalidReply.without_detail())
}
