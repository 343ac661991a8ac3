//! A token bucket that counts in whole thousandths of a token, so that rounding neither loses nor adds tokens.
use crate::limit::Limit;
use quincehatch_core::Millis;

/// Thousandths per token. A rate in tokens per second has the same value in thousandths per millisecond.
const MILLI: i64 = 1_000;
/// The capacity of a bucket is at least the tokens of this time, in milliseconds, and at least one token. Otherwise
/// a limit without a burst would reject every operation.
const MIN_CAPACITY_MS: u64 = 100;

/// A token bucket that fills at the rate of a limit, up to its burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    limit: Limit,
    /// The balance in thousandths of a token; negative after operations were run on credit.
    level: i64,
    filled_at: Millis,
}

impl TokenBucket {
    /// Returns an empty bucket, as it is not known how many tokens were spent before.
    pub fn empty(now: Millis, limit: Limit) -> TokenBucket {
        TokenBucket { limit, level: 0, filled_at: now }
    }

    fn capacity(&self) -> i64 {
        let minimum = (self.limit.rate_per_s * MIN_CAPACITY_MS).max(MILLI as u64);
        (self.limit.burst * MILLI as u64).max(minimum) as i64
    }

    /// Adds the tokens that have accrued since the last call.
    pub fn fill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.filled_at);
        let accrued = self.limit.rate_per_s.saturating_mul(elapsed).min(i64::MAX as u64 / 2) as i64;
        self.level = self.level.saturating_add(accrued).min(self.capacity());
        self.filled_at = self.filled_at.max(now);
    }

    /// Changes the limit. Available tokens remain, up to the capacity under the new limit.
    pub fn set_limit(&mut self, now: Millis, limit: Limit) {
        self.fill(now);
        self.limit = limit;
        self.level = self.level.min(self.capacity());
    }

    /// Returns the number of whole tokens available.
    pub fn available(&self) -> u64 {
        (self.level / MILLI).max(0) as u64
    }

    /// Returns the time until a token is available, in milliseconds; at least 1.
    pub fn next_token_ms(&self) -> u32 {
        let missing = (MILLI - self.level).max(0) as u64;
        (missing / self.limit.rate_per_s.max(1)).clamp(1, u64::from(u32::MAX)) as u32
    }

    /// Whether the bucket holds at least half of its capacity.
    pub fn is_half_full(&self) -> bool {
        self.level * 2 >= self.capacity()
    }

    /// Subtracts tokens, whether they are available or not.
    pub fn charge(&mut self, tokens: u64) {
        self.level = self.level.saturating_sub(tokens as i64 * MILLI);
    }

    /// Subtracts thousandths of a token, whether they are available or not.
    pub fn charge_milli(&mut self, milli: i64) {
        self.level = self.level.saturating_sub(milli);
    }

    /// Adds returned tokens, up to the capacity.
    pub fn refund(&mut self, tokens: u64) {
        self.refund_milli(tokens as i64 * MILLI);
    }

    /// Adds returned thousandths of a token, up to the capacity.
    pub fn refund_milli(&mut self, milli: i64) {
        self.level = self.level.saturating_add(milli).min(self.capacity());
    }

    /// Returns the limit in force.
    pub fn limit(&self) -> Limit {
        self.limit
    }
}
