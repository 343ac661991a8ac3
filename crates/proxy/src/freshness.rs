//! Freshness without shared clocks (§4.8): a lookup's stamp must reach what this node saw the primary hold.
use quincehatch_core::{Millis, Position};
use std::collections::VecDeque;

/// Part of the bound that is left for the way back to the origin.
pub const MARGIN: Millis = 300;

/// What a group's primary was seen to hold: asked at `at`, answered with `pos`. Newest last.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    ring: VecDeque<(Millis, Position)>,
}

impl Seen {
    /// `asked` is when the question left, so all that was acknowledged before it is in `pos`.
    pub fn note(&mut self, asked: Millis, pos: Position) {
        let at = self.ring.iter().rposition(|(a, _)| *a <= asked).map_or(0, |i| i + 1);
        if at > 0 && self.ring[at - 1].1 >= pos && at < self.ring.len() {
            return;
        }
        // Many answers within 20 ms say the same; one is kept.
        if self.ring.back().is_some_and(|(a, p)| asked < a + 20 && *p <= pos && at == self.ring.len()) {
            return;
        }
        self.ring.insert(at, (asked, pos));
        while self.ring.len() > 128 {
            self.ring.pop_front();
        }
    }
    /// The least position that still proves a lookup no more than `fresh` behind at `now`.
    pub fn needed(&mut self, now: Millis, fresh: Millis) -> Option<Position> {
        let oldest = now.saturating_sub(fresh.saturating_sub(MARGIN));
        while self.ring.front().is_some_and(|(a, _)| a + 3_000 < now) {
            self.ring.pop_front();
        }
        self.ring.iter().find(|(a, _)| *a >= oldest).map(|(_, p)| *p)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn p(n: u64) -> Position {
        Position { fence: 1, number: n }
    }

    #[test]
    fn the_oldest_sight_within_the_bound_is_what_must_be_reached() {
        let mut s = Seen::default();
        for i in 0..20 {
            s.note(i * 100, p(i));
        }
        assert_eq!(s.needed(1_900, 1_500), Some(p(7)));
        assert_eq!(s.needed(3_099, 1_500), Some(p(19)));
        assert_eq!(s.needed(3_101, 1_500), None, "nothing was seen lately enough to prove anything");
    }

    #[test]
    fn a_late_answer_to_an_early_question_does_not_count_as_new() {
        let mut s = Seen::default();
        s.note(1_000, p(5));
        s.note(400, p(9));
        assert_eq!(s.needed(1_600, 1_500), Some(p(9)));
        assert_eq!(s.needed(2_000, 1_500), Some(p(5)));
    }
}
