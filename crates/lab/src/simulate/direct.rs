//! Simulation of whole clusters that reach their servers over the servers' own protocol.
use super::seeds::{SeedReport, World};
use crate::cli::SimulationOptions;
use quincehatch_simulator::direct::{self, DirectReport, DirectSimOptions};

pub(super) const WORLD: World<DirectReport> =
    World { max_threads: 4, max_printed_violations: 8, run_seed, summary, print_details: print_event_log };

impl SeedReport for DirectReport {
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

fn run_seed(options: &SimulationOptions, seed: u64) -> DirectReport {
    direct::run_seed(&DirectSimOptions {
        seed,
        keepers: options.keepers,
        nodes: options.nodes,
        departures: options.departures,
        slow_promoter: options.slow_promoter,
        late_joins: options.late_joins,
        bug: options.injected_bug.clone(),
        verbose: options.is_verbose(),
    })
}

fn summary(reports: &[DirectReport]) -> String {
    let sum = |count: fn(&DirectReport) -> usize| reports.iter().map(count).sum::<usize>();
    format!(
        "{} statements, {} commits acknowledged, {} reads, {} configurations, {} promotions, \
         longest outage {} ms",
        sum(|report| report.statements),
        sum(|report| report.acknowledged),
        sum(|report| report.reads),
        sum(|report| report.config_versions),
        sum(|report| report.promotions),
        reports.iter().map(|report| report.longest_outage_ms).max().unwrap_or(0),
    )
}

/// Prints the events if only one seed is run.
fn print_event_log(options: &SimulationOptions, reports: &[DirectReport]) {
    if !options.is_verbose() {
        return;
    }
    for event in reports.iter().flat_map(|report| &report.event_log) {
        println!("  {event}");
    }
}
