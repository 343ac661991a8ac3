//! Schedules actions of a fleet on direct connections at random times.
use super::setup::DirectFleet;
use quincehatch_core::Millis;
use std::sync::Arc;

/// The time between two actions: at least `shortest`, and a random part of `spread` more.
#[derive(Clone, Copy, Debug)]
pub(super) struct RandomGaps {
    pub shortest: Millis,
    pub spread: Millis,
}

impl DirectFleet {
    /// Schedules an action repeatedly from `from` on for `period`. The first one comes after a gap.
    pub(super) fn schedule_repeatedly(
        self: &Arc<Self>,
        from: Millis,
        period: Millis,
        gaps: RandomGaps,
        act: fn(&Arc<Self>),
    ) {
        let mut at = from;
        loop {
            at += gaps.shortest + self.simulation.lock().rng.below(gaps.spread);
            if at >= from + period {
                return;
            }
            let fleet = self.clone();
            self.simulation.schedule_action(at, move |_| act(&fleet));
        }
    }
}
