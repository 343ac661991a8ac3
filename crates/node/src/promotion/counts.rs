//! Promotions of this process, counted for metrics.
use quincehatch_core::Millis;
use quincehatch_failover::promotion::Phase;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// How often a phase was gone through, and the time it took in all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PhaseTotal {
    /// How often.
    pub count: u64,
    /// The time in all, in milliseconds.
    pub total_ms: Millis,
}

/// Counts of promotions since the process began.
#[derive(Debug, Default)]
pub struct PromotionCounts {
    phases: Mutex<BTreeMap<&'static str, PhaseTotal>>,
    outcomes: Mutex<BTreeMap<&'static str, u64>>,
}

impl PromotionCounts {
    /// A promotion was in this phase for so long.
    pub fn record_phase(&self, phase: Phase, elapsed: Millis) {
        let mut phases = self.phases.lock().unwrap();
        let total = phases.entry(phase.label()).or_default();
        total.count += 1;
        total.total_ms += elapsed;
    }

    /// A promotion ended: `done` or `failed`; a handover: `handed_over` or `handover_failed`.
    pub fn record_outcome(&self, outcome: &'static str) {
        *self.outcomes.lock().unwrap().entry(outcome).or_default() += 1;
    }

    /// The phases of this moment.
    pub fn phases(&self) -> BTreeMap<&'static str, PhaseTotal> {
        self.phases.lock().unwrap().clone()
    }

    /// The outcomes of this moment.
    pub fn outcomes(&self) -> BTreeMap<&'static str, u64> {
        self.outcomes.lock().unwrap().clone()
    }
}
