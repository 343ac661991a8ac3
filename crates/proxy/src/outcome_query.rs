//! Resolves the outcome of a write: the primary is queried by the idempotency key, and a seal makes the outcome final.
use crate::client_api::reply::{RequestResult, SITE_PRIMARY};
use crate::client_api::request::ClientRequest;
use crate::primary_connection::{Primary, REPLY_RESERVE, primary};
use crate::server_protocol::{OUTCOME_COMMITTED, OUTCOME_NOT_COMMITTED, OUTCOME_SEALED, Reply, call};
use crate::services::Services;
use quincehatch_core::{Error, ErrorCode, Millis, Role};
use quincehatch_runtime::seam;
use quincehatch_wire::http::post_once;
use std::sync::Arc;
use std::time::Duration;

/// The interval between two queries.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Suggested wait before a client queries again after the outcome could not be determined.
const UNKNOWN_RETRY_AFTER: Millis = 500;

/// Whether the query seals the key of a write that was not committed, so that it never can be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seal {
    /// The key is sealed; only then the write is reported as not applied.
    IfNotCommitted,
    /// The key is not sealed: the outcome may still change.
    Never,
}

/// Queries the current primary for the outcome until it is known or the deadline is reached.
pub async fn resolve_outcome(
    services: &Arc<Services>,
    request: &mut ClientRequest,
    key: &str,
    seal: Seal,
) -> RequestResult {
    request.add_step("queries the outcome");
    while request.time_left() > REPLY_RESERVE {
        let timeout = Duration::from_millis(request.time_left().saturating_sub(REPLY_RESERVE));
        if let Ok(primary) = primary(&services.registry, request) {
            request.set_site(&primary.server, SITE_PRIMARY);
            let reply = query_primary(&primary, key, seal, timeout).await;
            let is_valid = |reply: &Reply| {
                reply.stamp.fence == primary.fence
                    && reply.stamp.role == Role::Primary
                    && services.registry.has_lease()
            };
            let result = reply.filter(is_valid).and_then(|reply| read_outcome(&reply, &primary, seal));
            if let Some(result) = result {
                return result;
            }
        }
        seam::sleep(POLL_INTERVAL).await;
    }
    Err(unknown_outcome())
}

/// Returns the result if the primary's reply determines the outcome.
fn read_outcome(reply: &Reply, primary: &Primary, seal: Seal) -> Option<RequestResult> {
    match reply.outcome.as_deref() {
        // This proves nothing about what else is visible at a primary that just took over.
        Some(OUTCOME_COMMITTED) => {
            let success = reply.success_of(&primary.server.name);
            let invalid = || ErrorCode::InvalidReply.without_detail().with_unknown_outcome();
            Some(success.ok_or_else(invalid))
        }
        Some(OUTCOME_SEALED) => Some(Err(ErrorCode::Sealed.without_detail())),
        Some(OUTCOME_NOT_COMMITTED) if seam::injected_bug("no-seal") => {
            Some(Err(ErrorCode::Sealed.without_detail()))
        }
        Some(OUTCOME_NOT_COMMITTED) if seal == Seal::Never => {
            let error = ErrorCode::Unknown.with_detail("not committed so far, and not sealed");
            Some(Err(error.with_unknown_outcome()))
        }
        _ => None,
    }
}

async fn query_primary(primary: &Primary, key: &str, seal: Seal, timeout: Duration) -> Option<Reply> {
    let with_seal = seal == Seal::IfNotCommitted && !seam::injected_bug("no-seal");
    let request = call::outcome(key, with_seal, primary.fence);
    let addr = primary.server.addr();
    let (_, body) = post_once(&addr, request.path, &request.body, timeout).await.ok()?;
    let reply = Reply::read(body)?;
    let is_own_answer = reply.error.is_none() && reply.stamp.server == primary.server.name;
    is_own_answer.then_some(reply)
}

/// Returns the error for an outcome that could not be determined in time.
pub fn unknown_outcome() -> Error {
    ErrorCode::Unknown.without_detail().with_unknown_outcome().with_retry_after(UNKNOWN_RETRY_AFTER)
}
