//! Bounds how many requests are retried at another server.
use std::sync::atomic::{AtomicU64, Ordering};

/// How many requests may be retried while their first server is silent: one for each four that come, and a stock for a
/// stall that has not been found yet. So a load that makes all servers slow does not multiply itself.
///
/// The value counts quarters of a retry.
pub struct RetryBudget(AtomicU64);

/// Retries in stock at most.
pub const MAX_STOCK: u64 = 512;
/// Requests that earn one retry.
const REQUESTS_PER_RETRY: u64 = 4;
/// The stock, in quarters of a retry.
const MAX_CREDIT: u64 = MAX_STOCK * REQUESTS_PER_RETRY;

impl Default for RetryBudget {
    fn default() -> Self {
        Self(AtomicU64::new(MAX_CREDIT))
    }
}

impl RetryBudget {
    /// A request came.
    pub fn earn(&self) {
        let add_one = |credit: u64| Some((credit + 1).min(MAX_CREDIT));
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add_one);
    }

    /// Takes one retry out of the budget; false if there is none.
    pub fn try_spend(&self) -> bool {
        let take_one = |credit: u64| credit.checked_sub(REQUESTS_PER_RETRY);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take_one).is_ok()
    }

    /// Retries that are left.
    pub fn left(&self) -> u64 {
        self.0.load(Ordering::Relaxed) / REQUESTS_PER_RETRY
    }
}
