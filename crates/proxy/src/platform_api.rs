//! The promotion call of the platform: the request and the interpretation of its answers (docs/server.md).
use crate::server_protocol::ServerRequest;
use quincehatch_core::{FencingToken, Name};
use serde_json::json;

/// The server that is to become its group's primary.
pub struct PromotionCandidate<'a> {
    /// The group.
    pub group: &'a str,
    /// The name of the server.
    pub server: &'a str,
    /// The address of the server.
    pub addr: &'a Name,
}

/// Creates the request that asks the platform to make the candidate its group's primary under `fence`, on behalf of
/// `node`.
///
/// `voters` are the servers that count towards the quorum of its commits.
pub fn promote(
    candidate: &PromotionCandidate<'_>,
    fence: FencingToken,
    node: &str,
    voters: &[Name],
) -> ServerRequest {
    let body = json!({
        "group": candidate.group, "server": candidate.server, "addr": candidate.addr,
        "fence": fence, "node": node, "counts": voters,
    });
    ServerRequest { path: "/v1/promote", body }
}

/// The outcome of a promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The server is primary.
    Done,
    /// A higher fence was issued, or this fence was used for another server.
    Superseded,
    /// The outcome is unknown: the server may have been promoted.
    InDoubt,
}

/// The HTTP status of a completed promotion.
const STATUS_DONE: u16 = 200;
/// The HTTP status of a promotion that conflicts with another one.
const STATUS_CONFLICT: u16 = 409;

/// Returns the outcome for an HTTP status; `None` means that no answer was received.
pub fn promotion_outcome(status: Option<u16>) -> PromotionOutcome {
    match status {
        Some(STATUS_DONE) => PromotionOutcome::Done,
        Some(STATUS_CONFLICT) => PromotionOutcome::Superseded,
        _ => PromotionOutcome::InDoubt,
    }
}
