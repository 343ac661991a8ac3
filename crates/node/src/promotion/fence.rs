//! Acquires a fencing token of a group's promotion duty, over the state that was planned for and no other.
use crate::node::Node;
use quincehatch_core::{ErrorCode, FencingToken, Name};
use quincehatch_store::{Answer, Command, PrimaryState};
use std::time::Duration;

/// What a promotion asks a fencing token for.
pub(super) struct FenceRequest<'a> {
    /// The idempotency key of the write.
    pub key: &'a str,
    /// The group.
    pub group: &'a Name,
    /// The node that carries the promotion out.
    pub coordinator: &'a Name,
    /// The state of the group that the promotion was planned for.
    pub expected: PrimaryState,
}

/// What came of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FenceOutcome {
    /// The token was granted.
    Granted(FencingToken),
    /// The state is not the expected one any more: another was first, and nothing was changed.
    Superseded,
    /// The store did not answer: the same key may be tried again.
    Unknown,
}

/// Acquires the next token. Of several promotions that plan over one state the store grants it to one; the others
/// change nothing, so whoever has a token is superseded only by a plan that was made in sight of it.
pub(super) async fn acquire_fence(node: &Node, request: FenceRequest<'_>, within: Duration) -> FenceOutcome {
    let command = Command::AcquireFenceIfUnchanged {
        group: request.group.clone(),
        by: request.coordinator.clone(),
        expected: request.expected,
    };
    match node.store_client.write(request.key, command, within).await {
        Ok(Answer::Fence(fence)) => {
            node.promotion_state.record_own_fence(request.group, fence);
            FenceOutcome::Granted(fence)
        }
        Err(error) if error.has_code(ErrorCode::StaleFence) => FenceOutcome::Superseded,
        _ => FenceOutcome::Unknown,
    }
}
