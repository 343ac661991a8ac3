//! Tracks which machines count as lost, and when the core was disturbed.
use quincehatch_core::Millis;
use std::collections::BTreeMap;

/// The time for which a slot of the deployment counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// The fault is in effect; its end is open.
    Now,
    /// The fault is over; the slot counts as lost until this time.
    Until(Millis),
}

#[derive(Debug, Default)]
pub struct FaultBudget {
    lost: BTreeMap<usize, Loss>,
    /// Spans in which the core was disturbed; a single event is an empty span.
    disturbances: Vec<(Millis, Millis)>,
    /// Spans in which the core is partitioned into halves or catches up after that. A machine that was lost before
    /// cannot be replaced meanwhile, so it counts as lost until the span ends.
    bisections: Vec<(Millis, Millis)>,
}

impl FaultBudget {
    /// Whether the machine in `slot` may be lost in addition without exceeding what is tolerated.
    pub fn allows(&self, slot: usize, now: Millis, tolerated: usize) -> bool {
        let other_losses = self
            .lost
            .iter()
            .filter(|(other, lost)| **other != slot && self.counts_as_lost(**lost, now))
            .count();
        other_losses < tolerated
    }
    /// Whether no machine counts as lost.
    pub fn none_lost(&self, now: Millis) -> bool {
        !self.lost.values().any(|lost| self.counts_as_lost(*lost, now))
    }
    /// Whether the fault of the machine in `slot` is still in effect.
    pub fn is_lost_now(&self, slot: usize) -> bool {
        self.lost.get(&slot) == Some(&Loss::Now)
    }
    pub fn mark_lost(&mut self, slot: usize) {
        self.lost.insert(slot, Loss::Now);
    }
    pub fn mark_lost_until(&mut self, slot: usize, until: Millis) {
        let previous = match self.lost.get(&slot) {
            Some(Loss::Until(previous)) => *previous,
            _ => 0,
        };
        self.lost.insert(slot, Loss::Until(until.max(previous)));
    }
    pub fn record_bisection(&mut self, from: Millis, to: Millis) {
        self.bisections.push((from, to));
    }
    /// Whether the slot counts as lost at `now`.
    fn counts_as_lost(&self, loss: Loss, now: Millis) -> bool {
        match loss {
            Loss::Now => true,
            Loss::Until(until) => {
                now < until || self.bisections.iter().any(|(from, to)| until > *from && now < *to)
            }
        }
    }
    pub fn record_disturbance(&mut self, from: Millis, to: Millis) {
        self.disturbances.push((from, to));
    }

    /// Returns the spans until `end` in which the core was settled: without a disturbance, and beginning `settle_time`
    /// after the last one.
    pub fn settled_spans(&self, settle_time: Millis, end: Millis) -> Vec<(Millis, Millis)> {
        let mut ordered = self.disturbances.clone();
        ordered.sort_unstable();
        let mut spans = Vec::new();
        let mut quiet_since = 0;
        for (from, to) in ordered.into_iter().chain([(end, end)]) {
            if from > quiet_since + settle_time {
                spans.push((quiet_since + settle_time, from));
            }
            quiet_since = quiet_since.max(to);
        }
        spans
    }
}
