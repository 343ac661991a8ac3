//! The pause grows, and ends when the server takes a connection.
use super::{CONGESTED_FOR, MIN_PAUSE, OpenGate};

#[test]
fn the_pause_grows_with_each_rejection_and_ends_when_a_connection_is_taken() {
    let mut gate = OpenGate::default();
    let mut last = 0;
    for rejections in 1..=4 {
        gate.note_rejected(1_000);
        let pause = gate.opens_at() - 1_000;
        assert!(pause >= MIN_PAUSE << (rejections - 1) && pause > last / 2, "{pause} after {rejections}");
        last = pause;
    }
    assert!(gate.is_backing_off(1_000 + MIN_PAUSE));
    gate.note_taken(1_000);
    assert!(!gate.is_backing_off(1_000));
    assert!(gate.is_crowded(1_000));
}

#[test]
fn a_congested_server_is_asked_for_a_first_connection_only() {
    let mut gate = OpenGate::default();
    gate.note_congested(1_000);
    assert!(gate.is_closed(1_000, 1) && !gate.is_closed(1_000, 0));
    assert!(!gate.is_closed(1_000 + CONGESTED_FOR, 1));
    assert_eq!(gate.opens_at(), 1_000 + CONGESTED_FOR);
}

#[test]
fn a_single_attempt_is_made_until_the_server_takes_a_connection() {
    let mut gate = OpenGate::default();
    gate.note_attempt(500);
    assert!(!gate.is_backing_off(500) && !gate.is_crowded(500), "it was never full");
    gate.note_rejected(1_000);
    let retry_at = gate.opens_at();
    assert!(!gate.is_backing_off(retry_at));
    gate.note_attempt(retry_at);
    assert!(gate.is_backing_off(retry_at));
}

#[test]
fn a_congested_server_is_asked_for_one_connection_a_second() {
    let mut gate = OpenGate::default();
    gate.note_taken(1_000);
    gate.note_congested(1_100);
    assert!(gate.is_closed(1_100, 0));
    gate.note_congested(1_950);
    assert!(gate.is_closed(1_999, 0) && !gate.is_closed(2_000, 0));
}
