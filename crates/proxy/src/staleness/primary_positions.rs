//! Positions that a group's primary was observed at.
//!
//! A read is fresh enough if the stamp of its answer has reached what this node observed the primary to hold at the
//! beginning of the bound. Only this node's clock is used.
use quincehatch_core::{Millis, Position};
use std::collections::VecDeque;

/// Part of the bound that is left for the way back to the client.
pub const MARGIN: Millis = 300;
/// Observations closer together say the same; one is kept.
const MIN_GAP: Millis = 20;
/// Observations kept of one group.
const MAX_OBSERVATIONS: usize = 128;
/// An older observation proves nothing under any bound.
const MAX_AGE: Millis = 3_000;

#[derive(Clone, Copy, Debug)]
struct Observation {
    asked_at: Millis,
    position: Position,
}

/// What a group's primary was observed to hold, newest last.
#[derive(Clone, Debug, Default)]
pub struct PrimaryPositions {
    observations: VecDeque<Observation>,
}

impl PrimaryPositions {
    /// Takes an observation. `asked_at` is when the request left, so that all that was acknowledged before it is in
    /// `position`.
    pub fn note(&mut self, asked_at: Millis, position: Position) {
        let earlier = self.observations.iter().rposition(|earlier| earlier.asked_at <= asked_at);
        let index = earlier.map_or(0, |i| i + 1);
        let is_newest = index == self.observations.len();
        // An earlier request that brought as much makes this one redundant.
        if index > 0 && self.observations[index - 1].position >= position && !is_newest {
            return;
        }
        let says_the_same =
            |last: &Observation| asked_at < last.asked_at + MIN_GAP && last.position <= position;
        if is_newest && self.observations.back().is_some_and(says_the_same) {
            return;
        }
        self.observations.insert(index, Observation { asked_at, position });
        while self.observations.len() > MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
    }

    /// The least position that proves a read at `now` to be no more than `max_staleness` behind; none if the primary was
    /// not observed lately enough to prove anything.
    pub fn needed(&mut self, now: Millis, max_staleness: Millis) -> Option<Position> {
        let oldest = now.saturating_sub(max_staleness.saturating_sub(MARGIN));
        while self.observations.front().is_some_and(|first| first.asked_at + MAX_AGE < now) {
            self.observations.pop_front();
        }
        let within_bound = self.observations.iter().find(|observation| observation.asked_at >= oldest);
        within_bound.map(|observation| observation.position)
    }
}
