//! Tests of the decision when a pooled group needs a promotion.
use quincehatch_core::{Millis, PrimaryAssignment};
use quincehatch_failover::observation::{GroupObservation, PromotionNeed, STUCK_PROMOTION_TIMEOUT};
use quincehatch_failover::pooled::{PROBE_FAILURE_LIMITS, STALL_LIMIT, primary_failed, promotion_need};
use quincehatch_failover::{direct, pooled};

const UNANSWERED_LIMIT: Millis = PROBE_FAILURE_LIMITS.unanswered;
const REFUSED_LIMIT: Millis = PROBE_FAILURE_LIMITS.refused;

fn healthy_group() -> GroupObservation {
    let primary = PrimaryAssignment { fence: 1, server: Some("a".into()), ..Default::default() };
    let servers = vec!["a".into(), "b".into(), "c".into()];
    GroupObservation { primary: Some(primary), servers, server_count: 3, ..Default::default() }
}

fn unresponsive_primary() -> GroupObservation {
    GroupObservation { failing_for: Some(UNANSWERED_LIMIT), ..healthy_group() }
}

#[test]
fn no_promotion_is_needed_when_a_stall_is_short() {
    let stalled = |elapsed| GroupObservation { stalled_for: Some(elapsed), ..healthy_group() };
    assert_eq!(promotion_need(&stalled(STALL_LIMIT - 1)), PromotionNeed::Nothing);
    assert_eq!(promotion_need(&stalled(STALL_LIMIT)), PromotionNeed::Confirm);
}

#[test]
fn no_promotion_is_needed_while_only_a_minority_of_servers_is_known() {
    let minority = GroupObservation { servers: vec!["a".into()], primary: None, ..healthy_group() };
    assert_eq!(promotion_need(&minority), PromotionNeed::Nothing);
    let all = GroupObservation { primary: None, ..healthy_group() };
    assert_eq!(promotion_need(&all), PromotionNeed::Now { planned: false });
}

#[test]
fn a_draining_primary_needs_a_handover_and_a_short_probe_failure_needs_nothing() {
    let draining = GroupObservation { draining: true, ..healthy_group() };
    assert_eq!(promotion_need(&draining), PromotionNeed::Now { planned: true });
    let short = GroupObservation { failing_for: Some(UNANSWERED_LIMIT - 1), ..healthy_group() };
    assert_eq!(promotion_need(&short), PromotionNeed::Nothing);
    let refused =
        GroupObservation { failing_for: Some(REFUSED_LIMIT), connection_refused: true, ..healthy_group() };
    assert_eq!(promotion_need(&refused), PromotionNeed::Confirm);
}

#[test]
fn another_nodes_promotion_has_priority_until_it_is_stuck() {
    let started =
        |elapsed| GroupObservation { since_other_promotion: Some(elapsed), ..unresponsive_primary() };
    assert!(primary_failed(&unresponsive_primary()) && direct::primary_failed(&unresponsive_primary()));
    assert_eq!(promotion_need(&unresponsive_primary()), PromotionNeed::Confirm);
    assert_eq!(promotion_need(&started(STUCK_PROMOTION_TIMEOUT - 1)), PromotionNeed::Nothing);
    assert_eq!(promotion_need(&started(STUCK_PROMOTION_TIMEOUT)), PromotionNeed::Confirm);
    assert_eq!(direct::promotion_need(&started(STUCK_PROMOTION_TIMEOUT - 1), true), PromotionNeed::Nothing);
    assert_eq!(direct::promotion_need(&started(STUCK_PROMOTION_TIMEOUT), true), PromotionNeed::Confirm);
}

#[test]
fn a_first_assignment_waits_when_another_node_started_one() {
    let unassigned = GroupObservation { primary: None, failing_for: None, ..unresponsive_primary() };
    assert_eq!(pooled::promotion_need(&unassigned), PromotionNeed::Now { planned: false });
    let started = GroupObservation { since_other_promotion: Some(0), ..unassigned };
    assert_eq!(pooled::promotion_need(&started), PromotionNeed::Nothing);
}
