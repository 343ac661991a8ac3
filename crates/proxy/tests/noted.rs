//! What a node passed on as acknowledged, told to whoever chooses a lead (§5.5).
use quincehatch_core::{Position, PrimaryAssignment};
use quincehatch_proxy::registry::{ClusterState, Registry};
use quincehatch_runtime::now;

#[test]
fn nothing_of_an_older_lead_is_passed_on_once_its_end_was_told() {
    let at = |n| Position { fence: 1, number: n };
    let b = Registry::default();
    b.renew_lease(now() + 600_000);
    assert_eq!(b.acknowledged_end("g"), Position::default());
    assert!(b.record_acknowledged("g", 4, at(7)) && b.record_acknowledged("g", 4, at(6)));
    assert_eq!(b.acknowledged_end("g"), at(7));
    assert_eq!(b.seal_acknowledged("g", 0), at(7));
    assert!(b.record_acknowledged("g", 4, at(8)), "asking without a fence stops nothing");
    assert_eq!(b.seal_acknowledged("g", 5), at(8));
    assert!(!b.record_acknowledged("g", 4, at(9)));
    assert_eq!(b.acknowledged_end("g"), at(8));
    assert!(b.record_acknowledged("g", 6, at(9)) && b.record_acknowledged("h", 4, at(1)));
}

/// Whoever chose another lead may by then have looked at the logs: what comes after the close, or without a lease, under
/// which a close may have gone by unseen, is in doubt.
#[test]
fn nothing_is_passed_on_under_a_lead_that_is_closed_or_without_a_lease() {
    let at = |n| Position { fence: 1, number: n };
    let b = Registry::default();
    let closed = PrimaryAssignment { fence: 5, demoted: Some("s1".into()), ..PrimaryAssignment::default() };
    b.renew_lease(now() + 600_000);
    assert!(b.record_acknowledged("g", 4, at(7)));
    b.set_cluster_state(ClusterState {
        number: 1,
        primaries: [("g".into(), closed)].into(),
        ..ClusterState::default()
    });
    assert!(!b.record_acknowledged("g", 4, at(8)));
    assert!(b.record_acknowledged("g", 5, at(8)) && b.record_acknowledged("h", 4, at(1)));
    b.set_lease_for_test(0);
    assert!(!b.record_acknowledged("g", 5, at(9)));
    assert_eq!(b.acknowledged_end("g"), at(8));
}
