//! The platform's promotion call: the request and the meaning of its answers (docs/server.md).
use crate::server_protocol::ServerRequest;
use quincehatch_core::{FencingToken, Name};
use serde_json::json;

/// The server that is to become its group's primary.
pub struct PromotionCandidate<'a> {
    /// The group.
    pub group: &'a str,
    /// Name of the server.
    pub server: &'a str,
    /// Its address.
    pub addr: &'a Name,
}

/// Asks the platform to have the candidate lead its group under `fence`, on behalf of `node`.
///
/// `voters` are the servers that count towards its commits.
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

/// What the platform's answer to a promotion means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromotionOutcome {
    /// The server is primary.
    Done,
    /// A higher fence is out, or this one named another server.
    Superseded,
    /// Not known: the server may have been promoted all the same.
    InDoubt,
}

/// The platform has done as asked.
const STATUS_DONE: u16 = 200;
/// Another promotion stands against this one.
const STATUS_CONFLICT: u16 = 409;

/// What an HTTP status means; `None` is an answer that did not come.
pub fn promotion_outcome(status: Option<u16>) -> PromotionOutcome {
    match status {
        Some(STATUS_DONE) => PromotionOutcome::Done,
        Some(STATUS_CONFLICT) => PromotionOutcome::Superseded,
        _ => PromotionOutcome::InDoubt,
    }
}
