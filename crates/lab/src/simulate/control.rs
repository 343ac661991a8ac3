//! Seeds of the control plane alone.
use super::violations::{SeedViolations, conclude, print_failed_seeds};
use super::{SeedReports, combined_trace, run_seeds};
use crate::cli::SimulationOptions;
use quincehatch_simulator::control::{self, ControlReport, ControlSimOptions};

const MAX_THREADS: usize = 8;
const MAX_PRINTED_VIOLATIONS: usize = 6;
const MS_PER_SECOND: u64 = 1_000;

pub(super) fn run(options: &SimulationOptions) -> Result<(), String> {
    let SeedReports { mut reports, lost_threads } = run_seeds(options, MAX_THREADS, run_seed);
    reports.sort_by_key(|report| report.seed);
    let seeds =
        reports.iter().map(|report| SeedViolations { seed: report.seed, violations: &report.violations });
    let failed = print_failed_seeds(seeds, MAX_PRINTED_VIOLATIONS);
    print_summary(&reports);
    conclude(failed, lost_threads)
}

fn run_seed(options: &SimulationOptions, seed: u64) -> ControlReport {
    control::run_seed(&ControlSimOptions {
        seed,
        allowed: options.allowed,
        bug: options.injected_bug.clone(),
        verbose: options.is_verbose(),
    })
}

fn print_summary(reports: &[ControlReport]) {
    let sum = |count: fn(&ControlReport) -> usize| reports.iter().map(count).sum::<usize>();
    println!(
        "{} seeds: {} submissions, {} acknowledged, {} reads, {} polls under a lease, {} changes, {} views, \
         settled {} s, trace {:016x}",
        reports.len(),
        sum(|report| report.submissions),
        sum(|report| report.acknowledged),
        sum(|report| report.reads),
        sum(|report| report.applied),
        reports.iter().map(|report| report.committed).sum::<u64>(),
        reports.iter().map(|report| report.views).sum::<u64>(),
        reports.iter().map(|report| report.settled_ms).sum::<u64>() / MS_PER_SECOND,
        combined_trace(reports.iter().map(|report| report.trace))
    );
}
