//! Rate limit on the tail's replies to polls, as a token bucket.
//!
//! Each change completes the polls of all nodes, and each node polls again immediately. In a large fleet with many
//! changes in a short time, or with one large configuration, these replies would saturate the tail and its network
//! link, so that its heartbeats were delayed and its peers removed it from the chain. With the limit, a single small
//! change reaches all nodes immediately, many changes are sent together in one reply, and a large change reaches the
//! nodes one after the other.
use quincehatch_core::Millis;

/// Tokens that are added per millisecond. A small reply costs one token.
const REFILL_TOKENS_PER_MS: u64 = 2;
/// Capacity of the bucket: enough for the replies to one small change in the largest fleet.
const CAPACITY_TOKENS: u64 = 1_000;
/// Bytes of a reply that cost one further token. With the refill rate this allows 8 KiB per millisecond, most of a link
/// of 100 Mbit/s.
const BYTES_PER_TOKEN: u64 = 4_096;

/// A token bucket that limits the replies to polls.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct ReplyRateLimiter {
    tokens: u64,
    refilled_at: Millis,
}

impl ReplyRateLimiter {
    pub fn new(now: Millis) -> Self {
        Self { tokens: CAPACITY_TOKENS, refilled_at: now }
    }

    /// Takes the tokens for a reply of `bytes` bytes; `false` if there are too few and the reply must wait.
    pub fn try_take(&mut self, now: Millis, bytes: u64) -> bool {
        let refill = now.saturating_sub(self.refilled_at) * REFILL_TOKENS_PER_MS;
        self.tokens = (self.tokens + refill).min(CAPACITY_TOKENS);
        self.refilled_at = self.refilled_at.max(now);
        // A reply that costs more than the capacity is sent when the bucket is full.
        let cost = (1 + bytes / BYTES_PER_TOKEN).min(CAPACITY_TOKENS);
        let is_allowed = self.tokens >= cost;
        if is_allowed {
            self.tokens -= cost;
        }
        is_allowed
    }
}
