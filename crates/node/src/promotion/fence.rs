//! Acquires a fencing token of a group's promotion duty, provided that the group's state is still the planned one.
use crate::node::Node;
use quincehatch_core::{ErrorCode, FencingToken, Name};
use quincehatch_store::{Answer, Command, PrimaryState};
use std::time::Duration;

/// A request for a fencing token.
pub(super) struct FenceRequest<'a> {
    /// The idempotency key of the write.
    pub key: &'a str,
    /// The group whose primary is to be replaced.
    pub group: &'a Name,
    /// The node that runs the promotion.
    pub coordinator: &'a Name,
    /// The group's state for which the promotion was planned.
    pub expected: PrimaryState,
}

/// The outcome of a request for a fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FenceOutcome {
    /// The token was granted.
    Granted(FencingToken),
    /// The group's state is no longer the expected one: another promotion was first, and this request changed nothing.
    Superseded,
    /// The store did not answer: the request may be retried with the same key.
    Unknown,
}

/// Acquires the group's next fencing token. Of several promotions planned for the same state, the store grants the
/// token to one, and the others change nothing. So a promotion that has a token is superseded only by a promotion whose
/// plan took that token into account.
pub(super) async fn acquire_fence(node: &Node, request: FenceRequest<'_>, timeout: Duration) -> FenceOutcome {
    let command = Command::AcquireFenceIfUnchanged {
        group: request.group.clone(),
        by: request.coordinator.clone(),
        expected: request.expected,
    };
    match node.store_client.write(request.key, command, timeout).await {
        Ok(Answer::Fence(fence)) => {
            node.promotion_state.record_own_fence(request.group, fence);
            FenceOutcome::Granted(fence)
        }
        Err(error) if error.has_code(ErrorCode::StaleFence) => FenceOutcome::Superseded,
        _ => FenceOutcome::Unknown,
    }
}
