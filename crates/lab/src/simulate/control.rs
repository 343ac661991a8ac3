//! Simulation of the control plane alone.
use super::seeds::{SeedReport, World};
use crate::cli::SimulationOptions;
use quincehatch_simulator::control::{self, ControlReport, ControlSimOptions};

const MS_PER_SECOND: u64 = 1_000;

pub(super) const WORLD: World<ControlReport> =
    World { max_threads: 8, max_printed_violations: 6, run_seed, summary, print_details: |_, _| {} };

impl SeedReport for ControlReport {
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

fn run_seed(options: &SimulationOptions, seed: u64) -> ControlReport {
    control::run_seed(&ControlSimOptions {
        seed,
        allowed: options.allowed,
        bug: options.injected_bug.clone(),
        verbose: options.is_verbose(),
    })
}

fn summary(reports: &[ControlReport]) -> String {
    let sum = |count: fn(&ControlReport) -> usize| reports.iter().map(count).sum::<usize>();
    format!(
        "{} submissions, {} acknowledged, {} reads, {} polls under a lease, {} changes, {} views, \
         settled {} s",
        sum(|report| report.submissions),
        sum(|report| report.acknowledged),
        sum(|report| report.reads),
        sum(|report| report.applied),
        reports.iter().map(|report| report.committed).sum::<u64>(),
        reports.iter().map(|report| report.views).sum::<u64>(),
        reports.iter().map(|report| report.settled_ms).sum::<u64>() / MS_PER_SECOND,
    )
}
