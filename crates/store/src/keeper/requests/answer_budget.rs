//! How much the tail answers polls with in a second.
//!
//! A change answers the polls of all nodes, and each node polls again at once. In a large fleet where many changes come
//! together, or one long configuration, the tail would do nothing else and its link would be full, so that its peers did
//! not hear of it and took it for lost. So answers are paid for: a small change alone reaches all nodes at once, many are
//! collected and reach them together, and a long one reaches them one after the other.
use quincehatch_core::Millis;

/// Answers for which time is paid, in a millisecond.
const ANSWERS_PER_MS: u64 = 2;
/// Answers that may be saved up: those of one change in the largest fleet.
const MAX_SAVED: u64 = 1_000;
/// Bytes that cost as much as an answer: 8 KB in a millisecond, most of a link of 100 Mbit/s.
const BYTES_PER_ANSWER: u64 = 4_096;

/// What the tail may answer at this moment.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct AnswerBudget {
    saved: u64,
    counted_at: Millis,
}

impl AnswerBudget {
    pub fn new(now: Millis) -> Self {
        Self { saved: MAX_SAVED, counted_at: now }
    }

    /// Pays for an answer of that length; `false` if it must wait.
    pub fn pay(&mut self, now: Millis, bytes: u64) -> bool {
        let earned = now.saturating_sub(self.counted_at) * ANSWERS_PER_MS;
        self.saved = (self.saved + earned).min(MAX_SAVED);
        self.counted_at = self.counted_at.max(now);
        // A single answer that costs more than can be saved is given when all is saved.
        let cost = (1 + bytes / BYTES_PER_ANSWER).min(MAX_SAVED);
        let is_affordable = self.saved >= cost;
        if is_affordable {
            self.saved -= cost;
        }
        is_affordable
    }
}
