use super::GroupState;
use quincehatch_core::{FencingToken, Name, PrimaryAssignment};
use quincehatch_store::PrimaryState;

const FENCE: FencingToken = 7;

/// The state of a group whose assignment was closed by `node` under [`FENCE`], as the feed shows it.
fn state_closed_by(node: &str) -> GroupState {
    let closed = PrimaryAssignment { fence: FENCE, assigned_by: node.into(), ..Default::default() };
    let mut state = GroupState::default();
    state.update(PrimaryState { fence: FENCE, primary: Some(closed) }, FENCE);
    state
}

#[test]
fn a_completed_promotion_is_not_repeated_while_the_feed_still_shows_the_closed_assignment() {
    let local = Name::from("n1");
    assert!(!state_closed_by("n1").was_left_unfinished_by(&local, FENCE));
    assert!(
        state_closed_by("n1").was_left_unfinished_by(&local, FENCE - 1),
        "an abandoned one is repeated at once"
    );
    assert!(
        !state_closed_by("n2").was_left_unfinished_by(&local, 0),
        "another node's promotion may be running"
    );
}
