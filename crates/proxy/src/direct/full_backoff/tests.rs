//! The pause grows, and ends when the server takes a connection.
use super::{FullBackoff, MIN_PAUSE};

#[test]
fn the_pause_grows_with_each_rejection_and_ends_when_a_connection_is_taken() {
    let mut backoff = FullBackoff::default();
    let mut last = 0;
    for rejections in 1..=4 {
        backoff.note_rejected(1_000);
        let pause = backoff.until() - 1_000;
        assert!(pause >= MIN_PAUSE << (rejections - 1) && pause > last / 2, "{pause} after {rejections}");
        last = pause;
    }
    assert!(backoff.is_backing_off(1_000 + MIN_PAUSE));
    backoff.note_taken();
    assert!(!backoff.is_backing_off(1_000));
    assert!(backoff.is_crowded(1_000));
}

#[test]
fn a_single_attempt_is_made_until_the_server_takes_a_connection() {
    let mut backoff = FullBackoff::default();
    backoff.note_attempt(500);
    assert!(!backoff.is_backing_off(500) && !backoff.is_crowded(500), "it was never full");
    backoff.note_rejected(1_000);
    let retry_at = backoff.until();
    assert!(!backoff.is_backing_off(retry_at));
    backoff.note_attempt(retry_at);
    assert!(backoff.is_backing_off(retry_at));
}
