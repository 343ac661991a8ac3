//! Counters of this process's promotions, for metrics.
use quincehatch_core::Millis;
use quincehatch_failover::promotion::Phase;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// How often promotions went through a phase, and the total time that they spent in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PhaseTotal {
    /// The number of completed passes through the phase.
    pub count: u64,
    /// The total time in the phase, in milliseconds.
    pub total_ms: Millis,
}

/// Counts of promotions since the process started.
#[derive(Debug, Default)]
pub struct PromotionCounts {
    phases: Mutex<BTreeMap<&'static str, PhaseTotal>>,
    outcomes: Mutex<BTreeMap<&'static str, u64>>,
}

impl PromotionCounts {
    /// Counts a phase that a promotion completed, and adds the time spent in it.
    pub fn record_phase(&self, phase: Phase, elapsed: Millis) {
        let mut phases = self.phases.lock().unwrap();
        let total = phases.entry(phase.label()).or_default();
        total.count += 1;
        total.total_ms += elapsed;
    }

    /// Counts the outcome of a promotion (`done` or `failed`) or of a handover (`handed_over` or `handover_failed`).
    pub fn record_outcome(&self, outcome: &'static str) {
        *self.outcomes.lock().unwrap().entry(outcome).or_default() += 1;
    }

    /// Returns a copy of the current totals by phase.
    pub fn phases(&self) -> BTreeMap<&'static str, PhaseTotal> {
        self.phases.lock().unwrap().clone()
    }

    /// Returns a copy of the current counts by outcome.
    pub fn outcomes(&self) -> BTreeMap<&'static str, u64> {
        self.outcomes.lock().unwrap().clone()
    }
}
