//! Measures service under each permanent fault: the longest time without a committed order in the affected group.
use super::print_spread;
use crate::cli::FleetOptions;
use crate::local_fleet;
use quincehatch_testbed::scenario::{self, ScenarioOptions, ScenarioReport};
use quincehatch_testbed::script;

/// Scenarios with one permanent fault each.
const SCENARIOS: [&str; 7] = [
    "lead-killed",
    "lead-paused",
    "lead-stalled",
    "lead-in-a-hole",
    "lead-leaves",
    "tail-killed",
    "node-killed",
];
const SECONDS: u64 = 16;
const CALLERS: usize = 60;
const PAUSE_MS: u64 = 300;
const FIRST_SEED: u64 = 7;
/// The group that the scenarios affect.
const GROUP: &str = "g1";

pub(super) async fn run(fleet: &FleetOptions, rounds: usize) -> Result<(), String> {
    for scenario in SCENARIOS {
        let mut gaps_ms = Vec::new();
        let mut committed_percent = Vec::new();
        for round in 0..rounds {
            let report = run_scenario(fleet, scenario, round).await?;
            for violation in &report.violations {
                println!("  VIOLATION {violation}");
            }
            gaps_ms.push(report.gaps.get(GROUP).copied().unwrap_or(0) as f64);
            committed_percent.push(100.0 * report.committed as f64 / report.attempts.max(1) as f64);
        }
        print_spread(&format!("{scenario}: longest gap without a committed order"), "ms", gaps_ms);
        print_spread(&format!("{scenario}: attempts that were committed"), "%", committed_percent);
    }
    Ok(())
}

async fn run_scenario(fleet: &FleetOptions, name: &str, round: usize) -> Result<ScenarioReport, String> {
    let mut running = local_fleet::start(fleet).await?;
    let options = ScenarioOptions {
        keeps_connections: false,
        scenario: name.into(),
        seconds: SECONDS,
        callers: CALLERS,
        pause_ms: PAUSE_MS,
        seed: FIRST_SEED + round as u64,
        untimed: false,
    };
    let steps = script::named(name).unwrap_or_default();
    Ok(scenario::run_scenario(&mut running, steps, &options).await)
}
