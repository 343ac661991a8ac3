//! Which machines count as lost, and when the core was troubled.
use quincehatch_core::Millis;
use std::collections::BTreeMap;

/// Until when a place of the deployment counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Now,
    Until(Millis),
}

#[derive(Debug, Default)]
pub struct FaultBudget {
    lost: BTreeMap<usize, Loss>,
    /// Spans of trouble with the core; an event is an empty span.
    disturbances: Vec<(Millis, Millis)>,
    /// Spans in which halves of the core do not reach each other, and in which they catch up after that: a machine that
    /// was lost before cannot be made up for meanwhile.
    halves: Vec<(Millis, Millis)>,
}

impl FaultBudget {
    /// True when losing the machine in `slot` as well stays within what is tolerated.
    pub fn allows(&self, slot: usize, now: Millis, tolerated: usize) -> bool {
        let others =
            self.lost.iter().filter(|(other, lost)| **other != slot && self.holds(**lost, now)).count();
        others < tolerated
    }
    /// True when no machine counts as lost.
    pub fn none_lost(&self, now: Millis) -> bool {
        !self.lost.values().any(|lost| self.holds(*lost, now))
    }
    /// True while the machine in `slot` is down or in trouble.
    pub fn is_lost_now(&self, slot: usize) -> bool {
        self.lost.get(&slot) == Some(&Loss::Now)
    }
    pub fn mark_lost(&mut self, slot: usize) {
        self.lost.insert(slot, Loss::Now);
    }
    pub fn mark_lost_until(&mut self, slot: usize, until: Millis) {
        let had = match self.lost.get(&slot) {
            Some(Loss::Until(had)) => *had,
            _ => 0,
        };
        self.lost.insert(slot, Loss::Until(until.max(had)));
    }
    pub fn record_halves(&mut self, from: Millis, to: Millis) {
        self.halves.push((from, to));
    }
    fn holds(&self, loss: Loss, now: Millis) -> bool {
        match loss {
            Loss::Now => true,
            Loss::Until(until) => {
                now < until || self.halves.iter().any(|(from, to)| until > *from && now < *to)
            }
        }
    }
    pub fn record_disturbance(&mut self, from: Millis, to: Millis) {
        self.disturbances.push((from, to));
    }

    /// Spans until `end` without trouble, each from `contact` after the last.
    pub fn settled_spans(&self, contact: Millis, end: Millis) -> Vec<(Millis, Millis)> {
        let mut troubles = self.disturbances.clone();
        troubles.sort_unstable();
        let mut spans = Vec::new();
        let mut calm_since = 0;
        for (from, to) in troubles.into_iter().chain([(end, end)]) {
            if from > calm_since + contact {
                spans.push((calm_since + contact, from));
            }
            calm_since = calm_since.max(to);
        }
        spans
    }
}
