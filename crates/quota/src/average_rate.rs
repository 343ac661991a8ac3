//! Moving averages of event rates.
use quincehatch_core::Millis;

/// An exponentially weighted moving average of events per millisecond with a time constant of `TIME_CONSTANT` ms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AverageRate<const TIME_CONSTANT: u32> {
    per_ms: f64,
    at: Millis,
}

impl<const TIME_CONSTANT: u32> AverageRate<TIME_CONSTANT> {
    /// Records `count` events at `now`.
    pub fn record(&mut self, now: Millis, count: f64) {
        self.per_ms = self.at(now) + count / f64::from(TIME_CONSTANT);
        self.at = self.at.max(now);
    }

    /// Returns the events per millisecond as of `now`. A time before the last event gives the rate at the last event.
    pub fn at(&self, now: Millis) -> f64 {
        let elapsed = now.saturating_sub(self.at) as f64;
        self.per_ms * Self::decay_factor(elapsed)
    }

    /// Returns the weight of an event after `elapsed` ms, relative to its initial weight.
    pub fn decay_factor(elapsed: f64) -> f64 {
        (-elapsed / f64::from(TIME_CONSTANT)).exp()
    }
}

/// The rate at which a tenant's operations were admitted. The averages of the nodes and the average of their sum at the
/// tail use the same time constant, so that they decay alike.
pub(crate) type AdmittedRate = AverageRate<10_000>;
/// The rate at which a tenant's operations arrive at a node, which determines how many tokens the node holds.
pub(crate) type ArrivalRate = AverageRate<2_000>;
