//! Tests the acknowledged position that a node reports for the choice of a new primary.
use quincehatch_core::{Position, PrimaryAssignment};
use quincehatch_proxy::registry::{ClusterState, Registry};
use quincehatch_runtime::now;

#[test]
fn no_commit_under_a_lower_fence_is_acknowledged_after_the_position_was_sealed() {
    let at = |number| Position { fence: 1, number };
    let registry = Registry::default();
    registry.renew_lease(now() + 600_000);
    assert_eq!(registry.acknowledged_end("g"), Position::default());
    assert!(registry.record_acknowledged("g", 4, at(7)) && registry.record_acknowledged("g", 4, at(6)));
    assert_eq!(registry.acknowledged_end("g"), at(7));
    assert_eq!(registry.seal_acknowledged("g", 0), at(7));
    assert!(registry.record_acknowledged("g", 4, at(8)), "sealing at fence 0 rejects nothing");
    assert_eq!(registry.seal_acknowledged("g", 5), at(8));
    assert!(!registry.record_acknowledged("g", 4, at(9)));
    assert_eq!(registry.acknowledged_end("g"), at(8));
    assert!(registry.record_acknowledged("g", 6, at(9)) && registry.record_acknowledged("h", 4, at(1)));
}

/// After the demotion, or without a lease, under which a demotion may have gone unnoticed, the logs may already have
/// been read for the choice of another primary. A commit is then in doubt and must not be acknowledged.
#[test]
fn no_commit_is_acknowledged_after_the_primary_is_demoted_or_the_lease_expired() {
    let at = |number| Position { fence: 1, number };
    let registry = Registry::default();
    let demoted = PrimaryAssignment { fence: 5, demoted: Some("s1".into()), ..PrimaryAssignment::default() };
    registry.renew_lease(now() + 600_000);
    assert!(registry.record_acknowledged("g", 4, at(7)));
    let primaries = [("g".into(), demoted)].into();
    registry.set_cluster_state(ClusterState { number: 1, primaries, ..ClusterState::default() });
    assert!(!registry.record_acknowledged("g", 4, at(8)));
    assert!(registry.record_acknowledged("g", 5, at(8)) && registry.record_acknowledged("h", 4, at(1)));
    registry.set_lease_for_test(0);
    assert!(!registry.record_acknowledged("g", 5, at(9)));
    assert_eq!(registry.acknowledged_end("g"), at(8));
}
