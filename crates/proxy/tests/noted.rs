//! What a node passed on as acknowledged, told to whoever chooses a lead (§5.5).
use quincehatch_core::{PrimaryAssignment, Position};
use quincehatch_proxy::board::{Board, Plan};
use quincehatch_runtime::now;

#[test]
fn nothing_of_an_older_lead_is_passed_on_once_its_end_was_told() {
    let at = |n| Position { fence: 1, number: n };
    let b = Board::default();
    b.renew_lease(now() + 600_000);
    assert_eq!(b.acked("g"), Position::default());
    assert!(b.note_acked("g", 4, at(7)) && b.note_acked("g", 4, at(6)));
    assert_eq!(b.acked("g"), at(7));
    assert_eq!(b.tell_acked("g", 0), at(7));
    assert!(b.note_acked("g", 4, at(8)), "asking without a fence stops nothing");
    assert_eq!(b.tell_acked("g", 5), at(8));
    assert!(!b.note_acked("g", 4, at(9)));
    assert_eq!(b.acked("g"), at(8));
    assert!(b.note_acked("g", 6, at(9)) && b.note_acked("h", 4, at(1)));
}

/// Whoever chose another lead may by then have looked at the logs: what comes after the close, or without a lease, under
/// which a close may have gone by unseen, is in doubt.
#[test]
fn nothing_is_passed_on_under_a_lead_that_is_closed_or_without_a_lease() {
    let at = |n| Position { fence: 1, number: n };
    let b = Board::default();
    let closed = PrimaryAssignment { fence: 5, demoted: Some("s1".into()), ..PrimaryAssignment::default() };
    b.renew_lease(now() + 600_000);
    assert!(b.note_acked("g", 4, at(7)));
    b.set_plan(Plan { n: 1, leads: [("g".into(), closed)].into(), ..Plan::default() });
    assert!(!b.note_acked("g", 4, at(8)));
    assert!(b.note_acked("g", 5, at(8)) && b.note_acked("h", 4, at(1)));
    b.lease_for_test(0);
    assert!(!b.note_acked("g", 5, at(9)));
    assert_eq!(b.acked("g"), at(8));
}
