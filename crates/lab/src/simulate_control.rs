//! `quincehatch-lab sim --control`: many seeds of the simulated control plane (§9.8).
use crate::args::Sim;
use crate::breaches;
use crate::simulate::each;
use quincehatch_simulator::control::{ControlReport, ControlSimOptions, run_seed as run_one};

const THREADS: usize = 8;
const REPORTED: usize = 6;

fn one(s: &Sim, seed: u64) -> ControlReport {
    run_one(&ControlSimOptions { seed, allowed: s.allowed, bug: s.bug.clone(), verbose: s.seeds == 1 })
}

pub fn run(s: &Sim) -> Result<(), String> {
    let (mut reports, lost) = each(s, THREADS, one);
    reports.sort_by_key(|report| report.seed);
    let failed = breaches::report(reports.iter().map(|r| (r.seed, r.violations.as_slice())), REPORTED);
    summary(&reports);
    breaches::verdict(failed, lost)
}

fn summary(reports: &[ControlReport]) {
    let sum = |f: &dyn Fn(&ControlReport) -> usize| reports.iter().map(f).sum::<usize>();
    println!(
        "{} seeds: {} orders, {} acknowledged, {} reads, {} polls under a lease, {} changes, {} views, settled {} s, \
         trace {:016x}",
        reports.len(),
        sum(&|r| r.submissions),
        sum(&|r| r.acknowledged),
        sum(&|r| r.reads),
        sum(&|r| r.applied),
        reports.iter().map(|r| r.committed).sum::<u64>(),
        reports.iter().map(|r| r.views).sum::<u64>(),
        reports.iter().map(|r| r.settled_ms).sum::<u64>() / 1_000,
        reports.iter().fold(0u64, |hash, r| hash.rotate_left(7) ^ r.trace)
    );
}
