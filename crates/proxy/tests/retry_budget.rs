//! How many requests are retried elsewhere.
use quincehatch_proxy::retry_budget::{MAX_STOCK, RetryBudget};

#[test]
fn one_retry_is_earned_for_every_four_requests_when_the_stock_is_gone() {
    let budget = RetryBudget::default();
    assert_eq!((0..10_000).filter(|_| budget.try_spend()).count() as u64, MAX_STOCK);
    let retried = (0..400).filter(|_| {
        budget.earn();
        budget.try_spend()
    });
    assert_eq!(retried.count(), 100);
    assert_eq!(budget.left(), 0);
}
