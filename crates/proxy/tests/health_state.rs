//! Tests how evidence ejects a server and how a probation readmits it.
use quincehatch_config::configuration::{Configuration, HealthSettings};
use quincehatch_proxy::evidence::{ConnectionEnd, HealthSignal};
use quincehatch_proxy::readmission::GroupHealth;
use quincehatch_proxy::state::{Health, HealthState};

fn health_settings() -> HealthSettings {
    Configuration::parse("[[placements]]\nname=\"a\"\nselect={group=[\"g\"]}\n").unwrap().health
}

#[test]
fn a_server_is_healthy_again_when_its_probation_succeeds_after_a_reset() {
    let settings = health_settings();
    let mut health = Health::default();
    health.connection_ended(100, &settings, ConnectionEnd::Reset);
    assert_eq!(health.state, HealthState::Ejected);
    health.status_succeeded(100 + settings.probation_after_ms - 1, GroupHealth::SomeHealthy);
    assert_eq!(health.state, HealthState::Ejected);
    health.status_succeeded(100 + settings.probation_after_ms, GroupHealth::SomeHealthy);
    assert!(health.accepts_probation_request());
    for id in 1..=settings.probation_successes {
        health.begin_probation_request(id);
        assert!(!health.accepts_probation_request(), "one request at a time");
        health.request_succeeded(40_000, &settings, id);
    }
    assert!(health.is_healthy());
    assert_eq!(health.transitions.len(), 3);
}

#[test]
fn a_group_without_healthy_replicas_gets_a_shorter_ejection_wait_that_doubles_too() {
    let settings = health_settings();
    let mut health = Health::default();
    health.connection_ended(100, &settings, ConnectionEnd::Reset);
    let mut now = 100;
    for wait in [2_000, 4_000, 8_000, 16_000, 16_000] {
        health.status_succeeded(now + wait - 1, GroupHealth::NoneHealthy);
        assert_eq!(health.state, HealthState::Ejected, "after {wait} ms");
        now += wait;
        health.status_succeeded(now, GroupHealth::SomeHealthy);
        assert_eq!(health.state, HealthState::Ejected, "another replica is healthy");
        health.status_succeeded(now, GroupHealth::NoneHealthy);
        assert!(health.accepts_probation_request());
        health.begin_probation_request(7);
        health.probation_failed(now, &settings, 7);
    }
}

#[test]
fn the_ejection_time_doubles_up_to_its_bound_when_probations_fail() {
    let settings = health_settings();
    let mut health = Health::default();
    let mut now = 0;
    health.connection_ended(now, &settings, ConnectionEnd::Unresponsive);
    let mut ejection_times = vec![];
    for _ in 0..5 {
        ejection_times.push(health.ejected_until - now);
        now = health.ejected_until;
        health.status_succeeded(now, GroupHealth::SomeHealthy);
        health.begin_probation_request(7);
        health.probation_failed(now, &settings, 7);
    }
    assert_eq!(ejection_times, [30_000, 60_000, 120_000, 240_000, 240_000]);
}

#[test]
fn late_replies_eject_a_server_only_when_there_are_enough_within_the_window() {
    let settings = health_settings();
    let mut health = Health::default();
    for i in 0..4 {
        health.add_evidence(i * 11_000, &settings, HealthSignal::Late);
    }
    assert!(health.is_healthy());
    for i in 0..5 {
        health.add_evidence(60_000 + i, &settings, HealthSignal::Late);
    }
    assert_eq!(health.state, HealthState::Ejected);
}
