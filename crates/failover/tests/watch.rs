//! When a node waits for another's change of hands (§5.5): two nodes may look after one group for a while.
use quincehatch_core::PrimaryAssignment;
use quincehatch_failover::watch::{Need, SILENT, STUCK, Sight, need};
use quincehatch_failover::{sync, watch};

fn silent_lead() -> Sight {
    let lead = PrimaryAssignment { fence: 3, server: Some("a".into()), ..Default::default() };
    let servers = vec!["a".into(), "b".into(), "c".into()];
    Sight { lead: Some(lead), servers, copies: 3, failing: Some(SILENT), ..Default::default() }
}

#[test]
fn a_fence_that_another_took_goes_first_until_it_is_stuck() {
    let begun = |ms| Sight { begun: Some(ms), ..silent_lead() };
    assert!(watch::dead(&silent_lead()) && sync::dead(&silent_lead()));
    assert_eq!(need(&silent_lead()), Need::Confirm);
    assert_eq!(need(&begun(STUCK - 1)), Need::Nothing);
    assert_eq!(need(&begun(STUCK)), Need::Confirm);
    assert_eq!(sync::need(&begun(STUCK - 1), true), Need::Nothing);
    assert_eq!(sync::need(&begun(STUCK), true), Need::Confirm);
}

#[test]
fn a_first_lead_waits_for_another_too() {
    let none = Sight { lead: None, failing: None, ..silent_lead() };
    assert_eq!(need(&none), Need::Now { planned: false });
    assert_eq!(need(&Sight { begun: Some(0), ..none }), Need::Nothing);
}
