//! Tests how many rounds a read is retried.
use quincehatch_proxy::read::rounds::{RoundOutcome, Rounds};

/// Returns the number of rounds until the read ends.
fn rounds_until_end(outcome: RoundOutcome, time_left: u64) -> usize {
    let mut rounds = Rounds::default();
    assert!(rounds.is_first());
    (1..).find(|_| !rounds.end(outcome, time_left)).unwrap()
}

#[test]
fn a_read_ends_after_20_rounds_when_no_server_is_available() {
    assert_eq!(rounds_until_end(RoundOutcome::NoServerAvailable, 1_000), 20);
}

#[test]
fn a_read_ends_after_60_rounds_when_servers_are_stale_or_busy() {
    assert_eq!(rounds_until_end(RoundOutcome::Retryable, 1_000), 60);
}

#[test]
fn a_read_ends_at_once_when_no_server_is_retryable_or_its_time_is_over() {
    assert_eq!(rounds_until_end(RoundOutcome::NotRetryable, 1_000), 1);
    assert_eq!(rounds_until_end(RoundOutcome::NoServerAvailable, 59), 1);
    assert_eq!(rounds_until_end(RoundOutcome::Retryable, 59), 1);
}

#[test]
fn rounds_of_all_outcomes_share_one_count() {
    let mut rounds = Rounds::default();
    for _ in 0..19 {
        assert!(rounds.end(RoundOutcome::Retryable, 1_000));
    }
    assert!(!rounds.end(RoundOutcome::NoServerAvailable, 1_000));
}
