//! A token bucket in whole thousandths of a token, so that no fraction is lost or gained.
use crate::limit::Limit;
use quincehatch_core::Millis;

/// Thousandths in a token. A rate in tokens a second is one in thousandths a millisecond.
const MILLI: i64 = 1_000;
/// A bucket holds what comes within this time at least, in milliseconds, and one token: a limit without a burst is a
/// limit still, and not a ban.
const MIN_CAPACITY_MS: u64 = 100;

/// Tokens that come at a rate, up to a burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    limit: Limit,
    /// Below 0 after operations were run before they were paid for.
    level: i64,
    filled_at: Millis,
}

impl TokenBucket {
    /// An empty one: what was spent before is not known.
    pub fn empty(now: Millis, limit: Limit) -> TokenBucket {
        TokenBucket { limit, level: 0, filled_at: now }
    }

    fn capacity(&self) -> i64 {
        let least = (self.limit.rate_per_s * MIN_CAPACITY_MS).max(MILLI as u64);
        (self.limit.burst * MILLI as u64).max(least) as i64
    }

    /// Adds what has come since the last time.
    pub fn fill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.filled_at);
        let come = self.limit.rate_per_s.saturating_mul(elapsed).min(i64::MAX as u64 / 2) as i64;
        self.level = self.level.saturating_add(come).min(self.capacity());
        self.filled_at = self.filled_at.max(now);
    }

    /// The limit changes. What is there stays, as far as the new burst allows.
    pub fn set_limit(&mut self, now: Millis, limit: Limit) {
        self.fill(now);
        self.limit = limit;
        self.level = self.level.min(self.capacity());
    }

    /// Whole tokens that are there.
    pub fn available(&self) -> u64 {
        (self.level / MILLI).max(0) as u64
    }

    /// When there will be a token, in milliseconds from now; 1 at least.
    pub fn next_token_ms(&self) -> u32 {
        let missing = (MILLI - self.level).max(0) as u64;
        (missing / self.limit.rate_per_s.max(1)).clamp(1, u64::from(u32::MAX)) as u32
    }

    /// Whether at least a half is there of what it can hold.
    pub fn is_half_full(&self) -> bool {
        self.level * 2 >= self.capacity()
    }

    /// Takes so many, whether they are there or not.
    pub fn charge(&mut self, tokens: u64) {
        self.level = self.level.saturating_sub(tokens as i64 * MILLI);
    }

    /// Takes thousandths of a token, whether they are there or not.
    pub fn charge_milli(&mut self, milli: i64) {
        self.level = self.level.saturating_sub(milli);
    }

    /// Gives back so many.
    pub fn give_back(&mut self, tokens: u64) {
        self.give_back_milli(tokens as i64 * MILLI);
    }

    /// Gives back thousandths of a token.
    pub fn give_back_milli(&mut self, milli: i64) {
        self.level = self.level.saturating_add(milli).min(self.capacity());
    }

    /// The limit.
    pub fn limit(&self) -> Limit {
        self.limit
    }
}
