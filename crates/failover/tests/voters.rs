//! Tests of the selection of a pooled group's voters.
use quincehatch_core::{Millis, Name};
use quincehatch_failover::voters::{DEPARTURE_TIMEOUT, ReplicaObservation, membership_changed, next_voters};

fn up(name: &str) -> ReplicaObservation {
    ReplicaObservation { name: name.into(), draining: false, failing_for: None }
}

fn crashed(name: &str) -> ReplicaObservation {
    ReplicaObservation { name: name.into(), draining: false, failing_for: Some(90_000) }
}

fn drained(name: &str, failing_for: Millis) -> ReplicaObservation {
    ReplicaObservation { name: name.into(), draining: true, failing_for: Some(failing_for) }
}

#[test]
fn membership_changes_when_a_new_server_is_up_or_a_drained_voter_has_departed() {
    let voters: Vec<Name> = ["a", "b", "c"].map(Name::from).into();
    let all = [up("a"), up("b"), up("c")];
    assert!(!membership_changed(3, &all, &voters) && !membership_changed(3, &all, &[]));
    // A crashed server may return, so it remains a voter until another server replaces it.
    let one_crashed = [up("a"), up("b"), crashed("c")];
    assert!(!membership_changed(3, &one_crashed, &voters));
    assert_eq!(next_voters(3, &one_crashed, &voters), voters);
    let replaced = [up("a"), up("b"), crashed("c"), up("d")];
    assert!(membership_changed(3, &replaced, &voters));
    assert_eq!(next_voters(3, &replaced, &voters), ["a", "b", "d"].map(Name::from));
    let four: Vec<Name> = ["a", "b", "c", "d"].map(Name::from).into();
    let one_drained = |failing_for| [up("a"), up("b"), drained("c", failing_for), up("d")];
    assert!(membership_changed(3, &one_drained(DEPARTURE_TIMEOUT), &four));
    assert!(!membership_changed(3, &one_drained(DEPARTURE_TIMEOUT - 1), &four));
}
