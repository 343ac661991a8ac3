//! Simulation of whole clusters that reach their servers over the pooled path.
use super::seeds::{SeedReport, World};
use crate::cli::SimulationOptions;
use quincehatch_simulator::fleet::{self, Report, SimOptions};

/// One seed in this many has several server groups.
const MANY_GROUPS_EVERY: u64 = 8;
const MANY_GROUPS: usize = 3;

pub(super) const WORLD: World<Report> =
    World { max_threads: 8, max_printed_violations: 8, run_seed, summary, print_details: |_, _| {} };

impl SeedReport for Report {
    fn seed(&self) -> u64 {
        self.seed
    }

    fn trace(&self) -> u64 {
        self.trace
    }

    fn violations(&self) -> &[String] {
        &self.violations
    }
}

fn run_seed(options: &SimulationOptions, seed: u64) -> Report {
    fleet::run_seed(&SimOptions {
        seed,
        keepers: options.keepers,
        nodes: options.nodes,
        groups: if seed.is_multiple_of(MANY_GROUPS_EVERY) { MANY_GROUPS } else { 1 },
        final_fault: options.permanent_fault,
        promotion_faults: options.promotion_faults,
        bug: options.injected_bug.clone(),
        verbose: options.is_verbose(),
    })
}

fn summary(reports: &[Report]) -> String {
    let sum = |count: fn(&Report) -> usize| reports.iter().map(count).sum::<usize>();
    format!(
        "{} attempts, {} committed, {} reads, {} pushes, {} promotions, {} messages, \
         longest outage {} ms",
        sum(|report| report.attempts),
        sum(|report| report.committed),
        sum(|report| report.reads),
        sum(|report| report.pushes),
        sum(|report| report.promotions),
        reports.iter().map(|report| report.messages_sent).sum::<u64>(),
        reports.iter().map(|report| report.longest_outage_ms).max().unwrap_or(0),
    )
}
