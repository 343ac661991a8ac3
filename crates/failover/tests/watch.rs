//! When a node waits for another's change of hands (§5.5): two nodes may look after one group for a while.
use quincehatch_core::PrimaryAssignment;
use quincehatch_failover::watch::{GroupObservation, PromotionNeed, SILENT, STUCK, need};
use quincehatch_failover::{sync, watch};

fn silent_lead() -> GroupObservation {
    let lead = PrimaryAssignment { fence: 3, server: Some("a".into()), ..Default::default() };
    let servers = vec!["a".into(), "b".into(), "c".into()];
    GroupObservation {
        primary: Some(lead),
        servers,
        server_count: 3,
        failing_for: Some(SILENT),
        ..Default::default()
    }
}

#[test]
fn a_fence_that_another_took_goes_first_until_it_is_stuck() {
    let begun = |ms| GroupObservation { other_promotion_for: Some(ms), ..silent_lead() };
    assert!(watch::dead(&silent_lead()) && sync::dead(&silent_lead()));
    assert_eq!(need(&silent_lead()), PromotionNeed::Confirm);
    assert_eq!(need(&begun(STUCK - 1)), PromotionNeed::Nothing);
    assert_eq!(need(&begun(STUCK)), PromotionNeed::Confirm);
    assert_eq!(sync::need(&begun(STUCK - 1), true), PromotionNeed::Nothing);
    assert_eq!(sync::need(&begun(STUCK), true), PromotionNeed::Confirm);
}

#[test]
fn a_first_lead_waits_for_another_too() {
    let none = GroupObservation { primary: None, failing_for: None, ..silent_lead() };
    assert_eq!(need(&none), PromotionNeed::Now { planned: false });
    assert_eq!(need(&GroupObservation { other_promotion_for: Some(0), ..none }), PromotionNeed::Nothing);
}
