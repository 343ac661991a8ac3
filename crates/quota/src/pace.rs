//! How often something happens.
use quincehatch_core::Millis;

/// An average of events a millisecond that forgets: what happened longer than `TERM` ms ago counts little.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Pace<const TERM: u32> {
    per_ms: f64,
    at: Millis,
}

impl<const TERM: u32> Pace<TERM> {
    /// Something happened so often.
    pub fn note(&mut self, now: Millis, count: f64) {
        self.per_ms = self.at(now) + count / f64::from(TERM);
        self.at = self.at.max(now);
    }

    /// Events a millisecond, as of `now`; a time before the last event gives that of the last event.
    pub fn at(&self, now: Millis) -> f64 {
        let elapsed = now.saturating_sub(self.at) as f64;
        self.per_ms * Self::part_remembered(elapsed)
    }

    /// How much of what happened so long ago still counts.
    pub fn part_remembered(elapsed: f64) -> f64 {
        (-elapsed / f64::from(TERM)).exp()
    }
}

/// The pace at which a tenant's operations ran: its parts at the nodes, and their sum at the tail, forget alike.
pub(crate) type AdmittedPace = Pace<10_000>;
/// The pace at which they come to a node, by which it holds tokens.
pub(crate) type AskedPace = Pace<2_000>;
