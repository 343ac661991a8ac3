//! Tests of the decision when a direct group needs a promotion.
use quincehatch_core::{Position, PrimaryAssignment};
use quincehatch_failover::direct::replication::{ReceivedSample, ReplicationWatermark};
use quincehatch_failover::direct::{primary_failed, promotion_need};
use quincehatch_failover::observation::{GroupObservation, PromotionNeed};

fn sample(queried_at: u64, number: u64) -> ReceivedSample {
    ReceivedSample { queried_at, received: Position { fence: 1, number } }
}

#[test]
fn an_unresponsive_primary_needs_confirmation_and_a_draining_primary_waits_for_a_successor() {
    let primary = PrimaryAssignment { fence: 1, server: Some("a".into()), ..Default::default() };
    let healthy = GroupObservation { primary: Some(primary), ..Default::default() };
    assert_eq!(promotion_need(&healthy, true), PromotionNeed::Nothing);
    let unresponsive = GroupObservation { failing_for: Some(500), ..healthy.clone() };
    assert!(primary_failed(&unresponsive) && promotion_need(&unresponsive, true) == PromotionNeed::Confirm);
    let short = GroupObservation { failing_for: Some(499), ..healthy.clone() };
    assert_eq!(promotion_need(&short, true), PromotionNeed::Nothing);
    let refused = GroupObservation { failing_for: Some(300), connection_refused: true, ..healthy.clone() };
    assert_eq!(promotion_need(&refused, true), PromotionNeed::Confirm);
    let draining = GroupObservation { draining: true, ..healthy.clone() };
    assert_eq!(promotion_need(&draining, true), PromotionNeed::Now { planned: true });
    assert_eq!(promotion_need(&draining, false), PromotionNeed::Nothing);
    // A node that started after the primary left observes only that no server is registered under its name.
    let unregistered = GroupObservation { unregistered: true, ..healthy.clone() };
    assert_eq!(promotion_need(&unregistered, true), PromotionNeed::Now { planned: true });
    assert_eq!(promotion_need(&unregistered, false), PromotionNeed::Nothing);
    let closed = GroupObservation {
        primary: Some(PrimaryAssignment::default()),
        primary_unchanged_for: 3_999,
        ..healthy
    };
    assert_eq!(promotion_need(&closed, true), PromotionNeed::Nothing);
    let stuck = GroupObservation { primary_unchanged_for: 4_000, ..closed };
    assert_eq!(promotion_need(&stuck, true), PromotionNeed::Now { planned: false });
}

/// Guards against a group without a primary: a server that says that it does not lead any more, and whose replies are
/// overdue, was not replaced as long as no other node saw the overdue replies (seed 320000440).
#[test]
fn a_server_that_does_not_lead_is_replaced_also_if_an_unconfirmed_stall_is_observed() {
    let primary = PrimaryAssignment { fence: 1, server: Some("a".into()), ..Default::default() };
    let stalled = GroupObservation { primary: Some(primary), stalled_for: Some(9_000), ..Default::default() };
    assert_eq!(promotion_need(&stalled, true), PromotionNeed::Confirm);
    let not_primary = GroupObservation { not_primary_for: Some(600), ..stalled.clone() };
    assert_eq!(promotion_need(&not_primary, true), PromotionNeed::Now { planned: false });
    let briefly = GroupObservation { not_primary_for: Some(599), ..stalled };
    assert_eq!(promotion_need(&briefly, true), PromotionNeed::Confirm);
}

#[test]
fn the_time_without_replication_grows_until_an_answering_replica_reaches_the_watermark() {
    let mut watermark = ReplicationWatermark::default();
    assert_eq!(watermark.update(sample(100, 5), &[sample(90, 4), sample(0, 0)]), 0);
    assert_eq!(watermark.update(sample(500, 9), &[sample(400, 4), sample(0, 0)]), 300);
    assert_eq!(watermark.update(sample(2_100, 9), &[sample(2_200, 4), sample(0, 0)]), 2_100);
    // One replica has reached the watermark, so a new one is set.
    assert_eq!(watermark.update(sample(2_500, 9), &[sample(2_600, 5), sample(0, 0)]), 100);
    assert_eq!(watermark.update(sample(3_000, 9), &[sample(3_100, 9), sample(0, 0)]), 0);
    // If no replica answers, nothing is known about replication.
    assert_eq!(watermark.update(sample(9_000, 12), &[]), 0);
}
