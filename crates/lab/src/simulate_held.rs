//! `quincehatch-lab sim --held`: many seeds of fleets whose servers are met over held links (§9.1).
use crate::args::Sim;
use crate::breaches;
use crate::simulate::{REPORTED, each};
use quincehatch_simulator::direct::{DirectReport, DirectSimOptions, run_seed as run_one};

fn one(s: &Sim, seed: u64) -> DirectReport {
    let (keepers, nodes, bug) = (s.keepers, s.nodes, s.bug.clone());
    run_one(&DirectSimOptions { seed, keepers, nodes, bug, verbose: s.seeds == 1 })
}

pub fn run(s: &Sim) -> Result<(), String> {
    let (mut all, lost) = each(s, 4, one);
    all.sort_by_key(|r| r.seed);
    let failed = breaches::report(all.iter().map(|r| (r.seed, r.violations.as_slice())), REPORTED);
    if s.seeds == 1 {
        all.iter().flat_map(|r| &r.event_log).for_each(|w| println!("  {w}"));
    }
    let sum = |f: &dyn Fn(&DirectReport) -> usize| all.iter().map(f).sum::<usize>();
    println!(
        "{} seeds: {} wishes, {} commits acknowledged, {} reads, {} blueprints, {} promotions, slowest back {} ms, \
         trace {:016x}",
        all.len(),
        sum(&|r| r.statements),
        sum(&|r| r.acknowledged),
        sum(&|r| r.reads),
        sum(&|r| r.config_versions),
        sum(&|r| r.promotions),
        all.iter().map(|r| r.longest_outage_ms).max().unwrap_or(0),
        all.iter().fold(0u64, |a, r| a.rotate_left(7) ^ r.trace)
    );
    breaches::verdict(failed, lost)
}
