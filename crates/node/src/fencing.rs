//! Takes the fence of a group's duty, over the leadership that was planned for and no other (§5.4).
use crate::ClusterNode;
use quincehatch_core::{ErrorCode, FencingToken, Name};
use quincehatch_store::{Answer, Command, PrimaryState};
use std::time::Duration;

/// How the try for a fence went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Fence(FencingToken),
    /// The leadership is not what was planned for any more: another was first, and nothing was altered.
    TooLate,
    /// The chain did not answer: the same key may be tried again.
    InDoubt,
}

/// Takes the next fence. Of several that plan over one leadership the chain gives it to one; the others alter nothing,
/// so whoever has it is overtaken only by a plan that was made in sight of it.
pub async fn next_fence(
    f: &ClusterNode,
    key: &str,
    group: &Name,
    by: &Name,
    over: PrimaryState,
    within: Duration,
) -> Taken {
    let cmd = Command::AcquireFenceIfUnchanged { group: group.clone(), by: by.clone(), expected: over };
    match f.store_client.write(key, cmd, within).await {
        Ok(Answer::Fence(fence)) => {
            f.promotion_state.note_own_fence(group, fence);
            Taken::Fence(fence)
        }
        Err(b) if b.has_code(ErrorCode::StaleFence) => Taken::TooLate,
        _ => Taken::InDoubt,
    }
}
