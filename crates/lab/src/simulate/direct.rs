//! Seeds of whole clusters whose servers are met over their own protocol.
use super::violations::{SeedViolations, conclude, print_failed_seeds};
use super::{SeedReports, combined_trace, run_seeds};
use crate::cli::SimulationOptions;
use quincehatch_simulator::direct::{self, DirectReport, DirectSimOptions};

const MAX_THREADS: usize = 4;
const MAX_PRINTED_VIOLATIONS: usize = 8;

pub(super) fn run(options: &SimulationOptions) -> Result<(), String> {
    let SeedReports { mut reports, lost_threads } = run_seeds(options, MAX_THREADS, run_seed);
    reports.sort_by_key(|report| report.seed);
    let seeds =
        reports.iter().map(|report| SeedViolations { seed: report.seed, violations: &report.violations });
    let failed = print_failed_seeds(seeds, MAX_PRINTED_VIOLATIONS);
    if options.is_verbose() {
        for event in reports.iter().flat_map(|report| &report.event_log) {
            println!("  {event}");
        }
    }
    print_summary(&reports);
    conclude(failed, lost_threads)
}

fn run_seed(options: &SimulationOptions, seed: u64) -> DirectReport {
    direct::run_seed(&DirectSimOptions {
        seed,
        keepers: options.keepers,
        nodes: options.nodes,
        bug: options.injected_bug.clone(),
        verbose: options.is_verbose(),
    })
}

fn print_summary(reports: &[DirectReport]) {
    let sum = |count: fn(&DirectReport) -> usize| reports.iter().map(count).sum::<usize>();
    println!(
        "{} seeds: {} statements, {} commits acknowledged, {} reads, {} configurations, {} promotions, \
         longest outage {} ms, trace {:016x}",
        reports.len(),
        sum(|report| report.statements),
        sum(|report| report.acknowledged),
        sum(|report| report.reads),
        sum(|report| report.config_versions),
        sum(|report| report.promotions),
        reports.iter().map(|report| report.longest_outage_ms).max().unwrap_or(0),
        combined_trace(reports.iter().map(|report| report.trace))
    );
}
