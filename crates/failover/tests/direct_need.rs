//! When a direct group needs a promotion.
use quincehatch_core::{Position, PrimaryAssignment};
use quincehatch_failover::direct::replication::{ReceivedSample, ReplicationWatermark};
use quincehatch_failover::direct::{primary_failed, promotion_need};
use quincehatch_failover::observation::{GroupObservation, PromotionNeed};

fn sample(asked_at: u64, number: u64) -> ReceivedSample {
    ReceivedSample { asked_at, received: Position { fence: 1, number } }
}

#[test]
fn a_silence_needs_confirmation_and_a_draining_primary_waits_for_a_successor() {
    let primary = PrimaryAssignment { fence: 1, server: Some("a".into()), ..Default::default() };
    let healthy = GroupObservation { primary: Some(primary), ..Default::default() };
    assert_eq!(promotion_need(&healthy, true), PromotionNeed::Nothing);
    let silent = GroupObservation { failing_for: Some(500), ..healthy.clone() };
    assert!(primary_failed(&silent) && promotion_need(&silent, true) == PromotionNeed::Confirm);
    let short = GroupObservation { failing_for: Some(499), ..healthy.clone() };
    assert_eq!(promotion_need(&short, true), PromotionNeed::Nothing);
    let refused = GroupObservation { failing_for: Some(300), connection_refused: true, ..healthy.clone() };
    assert_eq!(promotion_need(&refused, true), PromotionNeed::Confirm);
    let draining = GroupObservation { draining: true, ..healthy.clone() };
    assert_eq!(promotion_need(&draining, true), PromotionNeed::Now { planned: true });
    assert_eq!(promotion_need(&draining, false), PromotionNeed::Nothing);
    // A node that began after the primary left knows nothing of it but that nobody is registered under its name.
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

#[test]
fn a_primary_is_cut_off_when_no_replica_that_answers_has_what_it_had_long_ago() {
    let mut watermark = ReplicationWatermark::default();
    assert_eq!(watermark.update(sample(100, 5), &[sample(90, 4), sample(0, 0)]), 0);
    assert_eq!(watermark.update(sample(500, 9), &[sample(400, 4), sample(0, 0)]), 300);
    assert_eq!(watermark.update(sample(2_100, 9), &[sample(2_200, 4), sample(0, 0)]), 2_100);
    // One has it: a new watermark is set.
    assert_eq!(watermark.update(sample(2_500, 9), &[sample(2_600, 5), sample(0, 0)]), 100);
    assert_eq!(watermark.update(sample(3_000, 9), &[sample(3_100, 9), sample(0, 0)]), 0);
    // Where nobody else answers, nothing is known.
    assert_eq!(watermark.update(sample(9_000, 12), &[]), 0);
}
