//! Tests of the confirmation of a primary's failure by other nodes.
use quincehatch_core::PrimaryAssignment;
use quincehatch_failover::observation::{GroupObservation, PromotionNeed};
use quincehatch_failover::pooled::{PROBE_FAILURE_LIMITS, promotion_need};
use quincehatch_failover::votes::{FailureVotes, PrimaryObservation, SuspectedFailure};

fn unresponsive(failing: bool) -> PrimaryObservation {
    PrimaryObservation { server_known: true, failing, ..Default::default() }
}

fn confirmed_unresponsive(others: &[bool]) -> bool {
    let mut votes = FailureVotes::new(SuspectedFailure::Unresponsive, unresponsive(true), others.len());
    for failing in others {
        votes.add(unresponsive(*failing));
    }
    votes.is_confirmed()
}

#[test]
fn a_failure_is_not_confirmed_when_only_one_node_observes_it() {
    let primary = PrimaryAssignment { fence: 1, server: Some("a".into()), ..Default::default() };
    let observation = GroupObservation {
        primary: Some(primary),
        servers: vec!["a".into(), "b".into(), "c".into()],
        server_count: 3,
        failing_for: Some(PROBE_FAILURE_LIMITS.unanswered),
        ..Default::default()
    };
    assert_eq!(promotion_need(&observation), PromotionNeed::Confirm);
    assert!(!confirmed_unresponsive(&[false, false]));
    assert!(!confirmed_unresponsive(&[true, false, false]));
    assert!(!confirmed_unresponsive(&[true, false]));
    assert!(confirmed_unresponsive(&[true, true, false]) && confirmed_unresponsive(&[]));
}

/// The clients of a group may all be in one zone; nodes in other zones then cannot observe a stall.
#[test]
fn a_stall_is_not_denied_when_nodes_have_no_requests_to_the_server() {
    let idle = PrimaryObservation { server_known: true, ..Default::default() };
    let stalled = PrimaryObservation { stalled: true, ..idle };
    let busy = PrimaryObservation { answering: true, ..idle };
    let mut votes = FailureVotes::new(SuspectedFailure::Stalled, idle, 5);
    for observation in [stalled, idle, idle, idle] {
        votes.add(observation);
    }
    assert!(votes.is_confirmed());
    votes.add(busy);
    assert!(!votes.is_confirmed());
    assert!(FailureVotes::new(SuspectedFailure::Stalled, stalled, 3).is_confirmed());
}
