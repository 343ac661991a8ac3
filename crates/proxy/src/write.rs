//! Writes, which are never sent twice. If the outcome is in doubt, it is queried by the idempotency key and made final
//! by a seal.
use crate::attempt::{Attempt, AttemptOutcome, pending_reply, send};
use crate::client_api::reply::RequestResult;
use crate::client_api::request::ClientRequest;
use crate::health::overdue_replies::PendingReply;
use crate::outcome_query::{Seal, resolve_outcome, unknown_outcome};
use crate::pool::connection::ExchangeError;
use crate::primary_connection::{PrimaryConnection, REPLY_RESERVE, connect_to_primary};
use crate::rejections::rejection_error;
use crate::server_protocol::{self, IdempotentWrite, Reply, call};
use crate::services::Services;
use quincehatch_core::{Error, ErrorCode, FencingToken, Millis, Role};
use quincehatch_runtime::seam;
use std::sync::Arc;

/// Suggested wait before a client retries after a reply that was not the server's own.
const INVALID_REPLY_RETRY_AFTER: Millis = 500;
/// Suggested wait before a client retries after a draining server rejected the write.
const DRAINING_RETRY_AFTER: Millis = 1_000;
/// Suggested wait before a client retries after the server turned out not to be the primary.
const NOT_PRIMARY_RETRY_AFTER: Millis = 500;

/// Runs a write that is a transaction of its own.
pub async fn write(services: &Arc<Services>, request: &mut ClientRequest) -> RequestResult {
    let key = request.idempotency_key()?;
    let (configuration, route) = request.configuration_and_route()?;
    let pending = pending_reply(&configuration, &route);
    let primary = connect_to_primary(services, request).await?;
    let fence = primary.fence;
    let _in_flight = services.registry.in_flight.begin(&request.group);
    let mut outcome = send_write(services, request, primary, &key, pending).await;
    if seam::injected_bug("sent-twice") && matches!(outcome, AttemptOutcome::ConnectionFailed(_)) {
        let primary = connect_to_primary(services, request).await?;
        outcome = send_write(services, request, primary, &format!("{key}/2"), pending).await;
    }
    finish_commit(services, request, &key, fence, outcome).await
}

async fn send_write(
    services: &Arc<Services>,
    request: &ClientRequest,
    mut primary: PrimaryConnection,
    key: &str,
    pending: PendingReply,
) -> AttemptOutcome {
    let digest = request.digest();
    let write = IdempotentWrite { key, digest: &digest, fence: primary.fence };
    let connection_id = &primary.checkout.connection().id;
    let server_request = call::write(connection_id, request.text(), &request.body.params, &write);
    let attempt = Attempt::new(services, primary.checkout, server_request, pending);
    send(services, attempt, request.deadline.saturating_sub(REPLY_RESERVE)).await
}

/// Returns the result of a commit or of a write that is a transaction of its own, and resolves its outcome if that is
/// in doubt.
pub async fn finish_commit(
    services: &Arc<Services>,
    request: &mut ClientRequest,
    key: &str,
    fence: FencingToken,
    outcome: AttemptOutcome,
) -> RequestResult {
    match outcome {
        AttemptOutcome::Reply(reply, checkout) => {
            checkout.check_in();
            read_commit_reply(services, request, key, fence, &reply).await
        }
        AttemptOutcome::ConnectionFailed(error) => {
            request.add_step(format!("{} failed after sending", request.site.server));
            match error {
                ExchangeError::InvalidReply => Err(ErrorCode::InvalidReply
                    .without_detail()
                    .with_unknown_outcome()
                    .with_retry_after(INVALID_REPLY_RETRY_AFTER)),
                ExchangeError::Connection(_) => {
                    resolve_outcome(services, request, key, Seal::IfNotCommitted).await
                }
            }
        }
        AttemptOutcome::TimedOut => {
            request.add_step(format!("{} timed out after sending", request.site.server));
            Err(unknown_outcome())
        }
    }
}

async fn read_commit_reply(
    services: &Arc<Services>,
    request: &mut ClientRequest,
    key: &str,
    fence: FencingToken,
    reply: &Reply,
) -> RequestResult {
    if reply.has_error_code(server_protocol::DRAINING)
        && let Some(server) = services.registry.server(&request.site.server)
    {
        server.set_draining(true);
    }
    if reply.has_error_code(server_protocol::IN_DOUBT) {
        return resolve_outcome(services, request, key, Seal::Never).await;
    }
    if reply.error.is_some() {
        return Err(commit_error(reply));
    }
    let invalid_reply = || ErrorCode::InvalidReply.without_detail().with_unknown_outcome();
    if reply.stamp.fence != fence || reply.stamp.role != Role::Primary {
        return Err(invalid_reply());
    }
    let success = reply.success_of(&request.site.server).ok_or_else(invalid_reply)?;
    // The lease is checked after the reply: a node that was paused must not report an outdated state as current.
    if !services.registry.has_lease() {
        return Err(ErrorCode::NoLease
            .with_detail("the lease expired before the reply")
            .with_unknown_outcome());
    }
    services.registry.record_primary_position(&request.group, request.started_at, reply.stamp.position);
    Ok(success)
}

/// Returns the error for a reply that rejects a commit.
fn commit_error(reply: &Reply) -> Error {
    let has_code = |code| reply.has_error_code(code);
    if has_code(server_protocol::DRAINING) {
        return ErrorCode::ServerFailed
            .with_detail("the server is draining and did not apply the write")
            .with_retry_after(DRAINING_RETRY_AFTER);
    }
    if has_code(server_protocol::KEY_REUSED) {
        return ErrorCode::IdempotencyKeyReused.without_detail();
    }
    if has_code(server_protocol::KEY_SEALED) {
        return ErrorCode::Sealed.without_detail();
    }
    if has_code(server_protocol::FENCE_LOW) || has_code(server_protocol::NOT_PRIMARY) {
        return ErrorCode::NoPrimary
            .with_detail("the server is no longer the primary and did not apply the write")
            .with_retry_after(NOT_PRIMARY_RETRY_AFTER);
    }
    rejection_error(reply)
}
