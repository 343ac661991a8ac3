//! The positions at which a group's primary was observed.
//!
//! A read is fresh enough if the stamp of its answer has reached the position that this node observed at the primary at
//! the beginning of the staleness bound. Only this node's clock is used.
use quincehatch_core::{Millis, Position};
use std::collections::VecDeque;

/// The part of the bound that is reserved for the reply to the client.
pub const MARGIN: Millis = 300;
/// Of observations closer together than this, only one is retained.
const MIN_OBSERVATION_INTERVAL: Millis = 20;
/// The maximum number of observations for one group.
const MAX_OBSERVATIONS: usize = 128;
/// The age above which an observation proves nothing under any bound.
const MAX_AGE: Millis = 3_000;

#[derive(Clone, Copy, Debug)]
struct Observation {
    sent_at: Millis,
    position: Position,
}

/// The observed positions of a group's primary, newest last.
#[derive(Clone, Debug, Default)]
pub struct PrimaryPositions {
    observations: VecDeque<Observation>,
}

impl PrimaryPositions {
    /// Records an observation. `sent_at` is when the request was sent, so that `position` includes all commits that
    /// were acknowledged before it.
    pub fn record(&mut self, sent_at: Millis, position: Position) {
        let earlier = self.observations.iter().rposition(|earlier| earlier.sent_at <= sent_at);
        let index = earlier.map_or(0, |i| i + 1);
        let is_newest = index == self.observations.len();
        // An earlier request that observed at least this position makes this observation redundant.
        if index > 0 && self.observations[index - 1].position >= position && !is_newest {
            return;
        }
        let is_redundant = |last: &Observation| {
            sent_at < last.sent_at + MIN_OBSERVATION_INTERVAL && last.position <= position
        };
        if is_newest && self.observations.back().is_some_and(is_redundant) {
            return;
        }
        self.observations.insert(index, Observation { sent_at, position });
        while self.observations.len() > MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
    }

    /// Returns the lowest position that proves a read at `now` to be at most `max_staleness` behind, or `None` if the
    /// primary was not observed recently enough.
    pub fn required_at(&mut self, now: Millis, max_staleness: Millis) -> Option<Position> {
        let oldest = now.saturating_sub(max_staleness.saturating_sub(MARGIN));
        while self.observations.front().is_some_and(|first| first.sent_at + MAX_AGE < now) {
            self.observations.pop_front();
        }
        let within_bound = self.observations.iter().find(|observation| observation.sent_at >= oldest);
        within_bound.map(|observation| observation.position)
    }
}
