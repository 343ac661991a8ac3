//! Tests the acknowledged position that a node reports for the choice of a new primary.
use quincehatch_core::{FencingToken, Position, PrimaryAssignment};
use quincehatch_proxy::registry::{ClusterState, Registry};
use quincehatch_proxy::routing::commit_evidence::{
    AcknowledgedRange, Acknowledgement, Commit, PendingEvidence, SuccessorReport,
};
use quincehatch_runtime::now;

/// Whether a commit that was sent under `fence` may be acknowledged at once.
fn acknowledges(registry: &Registry, group: &str, fence: FencingToken, end: Position) -> bool {
    registry.acknowledge(group, &Commit { fence, end, after: Position::default() })
        == Acknowledgement::Granted
}

/// Sealing below the lowest fence changes nothing.
fn acknowledged_end(registry: &Registry, group: &str) -> Position {
    registry.seal_acknowledged(group, 0).end
}

fn registry_with_lease() -> Registry {
    let registry = Registry::default();
    registry.renew_lease(now() + 600_000);
    registry
}

#[test]
fn no_commit_under_a_lower_fence_is_acknowledged_after_the_position_was_sealed() {
    let at = |number| Position { fence: 1, number };
    let registry = registry_with_lease();
    assert_eq!(acknowledged_end(&registry, "g"), Position::default());
    assert!(acknowledges(&registry, "g", 4, at(7)) && acknowledges(&registry, "g", 4, at(6)));
    assert_eq!(acknowledged_end(&registry, "g"), at(7));
    assert_eq!(registry.seal_acknowledged("g", 0).end, at(7));
    assert!(acknowledges(&registry, "g", 4, at(8)), "sealing at fence 0 rejects nothing");
    assert_eq!(registry.seal_acknowledged("g", 5).end, at(8));
    assert!(!acknowledges(&registry, "g", 4, at(9)));
    assert_eq!(acknowledged_end(&registry, "g"), at(8));
    assert!(acknowledges(&registry, "g", 6, at(9)) && acknowledges(&registry, "h", 4, at(1)));
}

/// After the demotion, or without a lease, under which a demotion may have gone unnoticed, the logs may already have
/// been read for the choice of another primary. A commit is then in doubt and must not be acknowledged.
#[test]
fn no_commit_is_acknowledged_after_the_primary_is_demoted_or_the_lease_expired() {
    let at = |number| Position { fence: 1, number };
    let registry = registry_with_lease();
    let demoted = PrimaryAssignment { fence: 5, demoted: Some("s1".into()), ..PrimaryAssignment::default() };
    assert!(acknowledges(&registry, "g", 4, at(7)));
    let primaries = [("g".into(), demoted)].into();
    registry.set_cluster_state(ClusterState { number: 1, primaries, ..ClusterState::default() });
    assert!(!acknowledges(&registry, "g", 4, at(8)));
    assert!(acknowledges(&registry, "g", 5, at(8)) && acknowledges(&registry, "h", 4, at(1)));
    registry.set_lease_for_test(0);
    assert!(!acknowledges(&registry, "g", 5, at(9)));
    assert_eq!(acknowledged_end(&registry, "g"), at(8));
}

/// Guards against acknowledgements that rest on servers which no node knows of: during a handover only what the successor
/// has reported to hold may be acknowledged, whoever confirmed it to the old primary.
#[test]
fn during_a_handover_only_commits_that_the_successor_holds_are_acknowledged() {
    let at = |number| Position { fence: 1, number };
    let registry = registry_with_lease();
    let decide = |fence, end| registry.acknowledge("g", &Commit { fence, end, after: Position::default() });
    assert_eq!(decide(4, at(7)), Acknowledgement::Granted);
    assert!(registry.join_handover("g", 5, &"s2".into()) && registry.join_handover("g", 5, &"s2".into()));
    assert!(!registry.join_handover("g", 5, &"s3".into()) && !registry.join_handover("g", 4, &"s3".into()));
    assert_eq!(decide(4, at(8)), Acknowledgement::Pending);
    registry.record_successor("g", 5, SuccessorReport::Received(at(8)));
    assert_eq!((decide(4, at(8)), decide(4, at(9))), (Acknowledgement::Granted, Acknowledgement::Pending));
    assert_eq!(acknowledged_end(&registry, "g"), at(8));
    registry.record_successor("g", 4, SuccessorReport::Received(at(20)));
    assert_eq!(decide(4, at(9)), Acknowledgement::Pending, "a report of another handover proves nothing");
    registry.record_successor("g", 5, SuccessorReport::Leads);
    assert_eq!((decide(4, at(8)), decide(4, at(9))), (Acknowledgement::Granted, Acknowledgement::Refused));
    assert_eq!(decide(5, Position { fence: 2, number: 9 }), Acknowledgement::Granted);
}

/// Positions of another term say nothing: a successor that leads or follows a new term may lack the old term's end.
#[test]
fn a_position_of_another_term_proves_no_commit() {
    let registry = registry_with_lease();
    registry.join_handover("g", 5, &"s2".into());
    registry.record_successor("g", 5, SuccessorReport::Received(Position { fence: 2, number: 9 }));
    let commit = Commit { fence: 4, end: Position { fence: 1, number: 8 }, after: Position::default() };
    assert_eq!(registry.acknowledge("g", &commit), Acknowledgement::Pending);
}

/// A node that had no lease when the coordinator listed the participants knows the token once it has a lease, but not the
/// successor: nothing is acknowledged before the assignment is closed or the node has joined.
#[test]
fn a_node_that_was_not_asked_to_join_acknowledges_nothing_under_a_pending_promotion() {
    let registry = registry_with_lease();
    let open = PrimaryAssignment { fence: 4, server: Some("s1".into()), ..PrimaryAssignment::default() };
    let state = |number, primary: PrimaryAssignment, pending: &[FencingToken]| ClusterState {
        number,
        primaries: [("g".into(), primary)].into(),
        pending_promotions: pending.iter().map(|fence| ("g".into(), *fence)).collect(),
        ..ClusterState::default()
    };
    let commit = Commit { fence: 4, end: Position { fence: 1, number: 8 }, after: Position::default() };
    registry.set_cluster_state(state(1, open.clone(), &[]));
    assert_eq!(registry.acknowledge("g", &commit), Acknowledgement::Granted);
    registry.set_cluster_state(state(2, open, &[5]));
    assert_eq!(registry.acknowledge("g", &commit), Acknowledgement::Pending);
    registry.join_handover("g", 5, &"s2".into());
    registry.record_successor("g", 5, SuccessorReport::Received(commit.end));
    assert_eq!(registry.acknowledge("g", &commit), Acknowledgement::Granted);
    let closed = PrimaryAssignment { fence: 5, ..PrimaryAssignment::default() };
    registry.set_cluster_state(state(3, closed, &[]));
    assert_eq!(registry.acknowledge("g", &commit), Acknowledgement::Refused);
}

/// Guards against acknowledgements by a node that is cut off together with the primary: nobody can ask it what it
/// acknowledged, so a replica that the store knows must hold the commit.
#[test]
fn while_the_lease_is_not_renewed_only_commits_that_a_known_replica_holds_are_acknowledged() {
    let at = |number| Position { fence: 1, number };
    let registry = Registry::default();
    registry.renew_lease_expecting(now() + 600_000, now().saturating_sub(1));
    let decide = |end| registry.acknowledge("g", &Commit { fence: 4, end, after: Position::default() });
    assert_eq!(decide(at(7)), Acknowledgement::Pending);
    assert_eq!(registry.take_awaited_evidence(), [("g".into(), PendingEvidence::Replicas)]);
    assert_eq!(registry.take_awaited_evidence(), []);
    registry.record_replica("g", at(7));
    assert_eq!((decide(at(7)), decide(at(8))), (Acknowledgement::Granted, Acknowledgement::Pending));
    registry.renew_lease(now() + 600_000);
    assert_eq!(decide(at(8)), Acknowledgement::Granted);
}

/// A position in a reply may include commits that nobody has confirmed, so it is no lower bound; the end of the log before
/// the commit was sent is one.
#[test]
fn the_lower_bound_of_acknowledged_commits_is_behind_what_was_observed_before_they_were_sent() {
    let at = |number| Position { fence: 1, number };
    let registry = registry_with_lease();
    let commit = Commit { fence: 4, end: at(9), after: at(5) };
    assert_eq!(registry.acknowledge("g", &commit), Acknowledgement::Granted);
    let AcknowledgedRange { end, at_least } = registry.seal_acknowledged("g", 0);
    assert_eq!((end, at_least), (at(9), at(6)));
    let of_new_term = Commit { fence: 4, end: Position { fence: 2, number: 9 }, after: at(8) };
    assert_eq!(registry.acknowledge("g", &of_new_term), Acknowledgement::Granted);
    assert_eq!(registry.seal_acknowledged("g", 0).at_least, at(8));
}
