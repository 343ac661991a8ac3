//! What counts as a lead's stall (§4.5, §5.5).
use quincehatch_config::configuration::{Configuration, HealthSettings};
use quincehatch_proxy::overdue_replies::PendingReply;
use quincehatch_proxy::state::{Health, HealthState};

fn judges() -> HealthSettings {
    Configuration::parse("[[placements]]\nname=\"a\"\nselect={group=[\"g\"]}\n").unwrap().health
}
fn owe(long: bool) -> PendingReply {
    PendingReply { timeout: 1_000, query_timeout: 30_000, long_running: long, first: true }
}

/// Drawn seed 2000736: a reply was lost in a split; 30 s later, in a quiet hour, the lead was replaced for it.
#[test]
fn a_lost_reply_that_others_outlived_is_held_against_the_server_but_is_no_stall() {
    let (j, mut h) = (judges(), Health::default());
    h.overdue.record_sent(100, 1, owe(true));
    h.overdue.record_sent(200, 2, owe(false));
    h.request_succeeded(210, &j, 2);
    h.tick(30_100, &j);
    assert_eq!(h.state, HealthState::Ejected);
    assert_eq!(h.stalled_for(32_000), None);
}

#[test]
fn long_replies_that_nobody_outlives_are_a_stall() {
    let (j, mut h) = (judges(), Health::default());
    h.overdue.record_sent(100, 1, owe(true));
    h.tick(30_100, &j);
    assert_eq!(h.stalled_for(32_000), Some(1_900));
}
