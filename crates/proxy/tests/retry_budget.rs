//! Tests how many requests may be retried at another server.
use quincehatch_proxy::retry_budget::{MAX_RESERVE, RetryBudget};

#[test]
fn one_retry_is_earned_for_every_four_requests_when_the_reserve_is_spent() {
    let budget = RetryBudget::default();
    assert_eq!((0..10_000).filter(|_| budget.try_spend()).count() as u64, MAX_RESERVE);
    let retried = (0..400).filter(|_| {
        budget.add_request_credit();
        budget.try_spend()
    });
    assert_eq!(retried.count(), 100);
    assert_eq!(budget.remaining_retries(), 0);
}
