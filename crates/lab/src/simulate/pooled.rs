//! Seeds of whole clusters whose servers are met over the pooled path.
use super::violations::{SeedViolations, conclude, print_failed_seeds};
use super::{SeedReports, combined_trace, run_seeds};
use crate::cli::SimulationOptions;
use quincehatch_simulator::fleet::{self, Report, SimOptions};

const MAX_THREADS: usize = 8;
const MAX_PRINTED_VIOLATIONS: usize = 8;
/// One seed in so many has several server groups.
const MANY_GROUPS_EVERY: u64 = 8;
const MANY_GROUPS: usize = 3;

pub(super) fn run(options: &SimulationOptions) -> Result<(), String> {
    let SeedReports { mut reports, lost_threads } = run_seeds(options, MAX_THREADS, run_seed);
    reports.sort_by_key(|report| report.seed);
    let seeds =
        reports.iter().map(|report| SeedViolations { seed: report.seed, violations: &report.violations });
    let failed = print_failed_seeds(seeds, MAX_PRINTED_VIOLATIONS);
    print_summary(&reports);
    conclude(failed, lost_threads)
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

fn print_summary(reports: &[Report]) {
    let sum = |count: fn(&Report) -> usize| reports.iter().map(count).sum::<usize>();
    println!(
        "{} seeds: {} attempts, {} committed, {} reads, {} pushes, {} promotions, {} messages, \
         longest outage {} ms, trace {:016x}",
        reports.len(),
        sum(|report| report.attempts),
        sum(|report| report.committed),
        sum(|report| report.reads),
        sum(|report| report.pushes),
        sum(|report| report.promotions),
        reports.iter().map(|report| report.messages_sent).sum::<u64>(),
        reports.iter().map(|report| report.longest_outage_ms).max().unwrap_or(0),
        combined_trace(reports.iter().map(|report| report.trace))
    );
}
