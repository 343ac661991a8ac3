//! How many answers to polls the tail gives in a second.
//!
//! A change answers the polls of all nodes, and each node polls again at once. In a large fleet where many changes come
//! together the tail would do nothing else, and be lost to its peers. So answers are paid for: a change alone reaches all
//! nodes at once, many changes are collected and reach them together.
use quincehatch_core::Millis;

/// Answers for which time is paid, in a millisecond.
const ANSWERS_PER_MS: u64 = 2;
/// Answers that may be saved up: those of one change in the largest fleet.
const MAX_SAVED: u64 = 1_000;
/// What a snapshot costs, in answers: with some hundred servers and routes it takes 100 KB, and a link that is filled with
/// snapshots delivers none of them before its node gives up and asks again.
const SNAPSHOT_COST: u64 = 16;

/// The answers that the tail may give at this moment.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct AnswerBudget {
    saved: u64,
    counted_at: Millis,
}

impl AnswerBudget {
    pub fn new(now: Millis) -> Self {
        Self { saved: MAX_SAVED, counted_at: now }
    }

    /// Pays for an answer; `false` if it must wait.
    pub fn pay(&mut self, now: Millis, is_snapshot: bool) -> bool {
        let earned = now.saturating_sub(self.counted_at) * ANSWERS_PER_MS;
        self.saved = (self.saved + earned).min(MAX_SAVED);
        self.counted_at = self.counted_at.max(now);
        let cost = if is_snapshot { SNAPSHOT_COST } else { 1 };
        let is_affordable = self.saved >= cost;
        if is_affordable {
            self.saved -= cost;
        }
        is_affordable
    }
}
