//! Tests what counts as a stall of a primary.
use quincehatch_config::configuration::{Configuration, HealthSettings};
use quincehatch_proxy::overdue_replies::PendingReply;
use quincehatch_proxy::state::{Health, HealthState};

fn health_settings() -> HealthSettings {
    Configuration::parse("[[placements]]\nname=\"a\"\nselect={group=[\"g\"]}\n").unwrap().health
}

fn pending_reply(long_running: bool) -> PendingReply {
    PendingReply { timeout: 1_000, query_timeout: 30_000, long_running, first_attempt: true }
}

/// Found by drawn seed 2000736: a reply was lost in a network partition, and 30 s later, in a period with few requests,
/// the primary was replaced because of it.
#[test]
fn a_lost_reply_ejects_the_server_but_is_no_stall_when_others_were_answered_since() {
    let settings = health_settings();
    let mut health = Health::default();
    health.overdue.record_sent(100, 1, pending_reply(true));
    health.overdue.record_sent(200, 2, pending_reply(false));
    health.request_succeeded(210, &settings, 2);
    health.tick(30_100, &settings);
    assert_eq!(health.state, HealthState::Ejected);
    assert_eq!(health.stall_duration(32_000), None);
}

#[test]
fn long_replies_are_a_stall_when_nothing_was_answered_since() {
    let settings = health_settings();
    let mut health = Health::default();
    health.overdue.record_sent(100, 1, pending_reply(true));
    health.tick(30_100, &settings);
    assert_eq!(health.stall_duration(32_000), Some(1_900));
}
