//! Limits how many requests are retried at another server.
use std::sync::atomic::{AtomicU64, Ordering};

/// The budget for retries of requests whose first server does not answer. Each four requests earn one retry, and a
/// reserve covers a stall that has not been detected yet. A load that makes all servers slow is therefore not
/// multiplied by retries.
///
/// The value counts quarters of a retry.
pub struct RetryBudget(AtomicU64);

/// The maximum number of retries in the reserve.
pub const MAX_RESERVE: u64 = 512;
/// The number of requests that earn one retry.
const REQUESTS_PER_RETRY: u64 = 4;
/// The maximum reserve, in quarters of a retry.
const MAX_CREDIT: u64 = MAX_RESERVE * REQUESTS_PER_RETRY;

impl Default for RetryBudget {
    fn default() -> Self {
        Self(AtomicU64::new(MAX_CREDIT))
    }
}

impl RetryBudget {
    /// Adds the credit for one request.
    pub fn add_request_credit(&self) {
        let add_one = |credit: u64| Some((credit + 1).min(MAX_CREDIT));
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add_one);
    }

    /// Spends one retry. Returns false if none is left.
    pub fn try_spend(&self) -> bool {
        let take_one = |credit: u64| credit.checked_sub(REQUESTS_PER_RETRY);
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take_one).is_ok()
    }

    /// Returns the number of retries that are left.
    pub fn remaining_retries(&self) -> u64 {
        self.0.load(Ordering::Relaxed) / REQUESTS_PER_RETRY
    }
}
