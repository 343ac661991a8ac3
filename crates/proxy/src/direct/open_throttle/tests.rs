//! Tests of the pauses at a full server and of the limits at a congested one.
use super::{CONGESTION_PERIOD, MIN_PAUSE, OpenThrottle};

#[test]
fn the_pause_grows_with_each_rejection_and_ends_when_a_connection_is_accepted() {
    let mut throttle = OpenThrottle::default();
    let mut last = 0;
    for rejections in 1..=4 {
        throttle.record_rejected(1_000);
        let pause = throttle.next_open_at() - 1_000;
        assert!(pause >= MIN_PAUSE << (rejections - 1) && pause > last / 2, "{pause} after {rejections}");
        last = pause;
    }
    assert!(throttle.is_backing_off(1_000 + MIN_PAUSE));
    throttle.record_opened(1_000);
    assert!(!throttle.is_backing_off(1_000));
    assert!(throttle.should_close_idle(1_000));
}

#[test]
fn only_a_first_connection_is_opened_to_a_congested_server() {
    let mut throttle = OpenThrottle::default();
    throttle.record_congestion(1_000);
    assert!(throttle.is_throttled(1_000, 1) && !throttle.is_throttled(1_000, 0));
    assert!(!throttle.is_throttled(1_000 + CONGESTION_PERIOD, 1));
    assert_eq!(throttle.next_open_at(), 1_000 + CONGESTION_PERIOD);
}

#[test]
fn a_single_attempt_is_made_per_pause_until_the_server_accepts_a_connection() {
    let mut throttle = OpenThrottle::default();
    throttle.record_attempt(500);
    assert!(
        !throttle.is_backing_off(500) && !throttle.should_close_idle(500),
        "the server has not rejected a connection yet"
    );
    throttle.record_rejected(1_000);
    let retry_at = throttle.next_open_at();
    assert!(!throttle.is_backing_off(retry_at));
    throttle.record_attempt(retry_at);
    assert!(throttle.is_backing_off(retry_at));
}

#[test]
fn one_connection_per_second_is_opened_to_a_congested_server() {
    let mut throttle = OpenThrottle::default();
    throttle.record_opened(1_000);
    throttle.record_congestion(1_100);
    assert!(throttle.is_throttled(1_100, 0));
    throttle.record_congestion(1_950);
    assert!(throttle.is_throttled(1_999, 0) && !throttle.is_throttled(2_000, 0));
}
