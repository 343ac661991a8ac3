//! How long a read goes on asking.
use quincehatch_proxy::read::rounds::{RoundOutcome, Rounds};

/// Rounds until the read gives up.
fn rounds_until_end(outcome: RoundOutcome, time_left: u64) -> usize {
    let mut rounds = Rounds::default();
    assert!(rounds.is_first());
    (1..).find(|_| !rounds.end(outcome, time_left)).unwrap()
}

#[test]
fn a_read_looks_for_a_while_when_there_is_nobody_to_ask() {
    assert_eq!(rounds_until_end(RoundOutcome::NobodyAsked, 1_000), 20);
}

#[test]
fn a_read_asks_stale_and_busy_servers_again_longer_than_that() {
    assert_eq!(rounds_until_end(RoundOutcome::MayDoBetter, 1_000), 60);
}

#[test]
fn a_read_ends_at_once_when_nobody_will_do_better_or_its_time_is_over() {
    assert_eq!(rounds_until_end(RoundOutcome::Hopeless, 1_000), 1);
    assert_eq!(rounds_until_end(RoundOutcome::NobodyAsked, 59), 1);
    assert_eq!(rounds_until_end(RoundOutcome::MayDoBetter, 59), 1);
}

#[test]
fn rounds_of_different_outcomes_count_together() {
    let mut rounds = Rounds::default();
    for _ in 0..19 {
        assert!(rounds.end(RoundOutcome::MayDoBetter, 1_000));
    }
    assert!(!rounds.end(RoundOutcome::NobodyAsked, 1_000));
}
