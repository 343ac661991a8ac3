//! `quincehatch-lab soak`: drawn scripts of overlapping faults on clusters of real processes of drawn sizes.
use crate::cli::{FleetOptions, SoakOptions};
use crate::local_fleet;
use quincehatch_testbed::scenario::{self, ScenarioOptions};
use quincehatch_testbed::soak::{draw_script, draw_size};

/// A longer time without an acknowledged order in a group is reported for inspection. It is not a violation, because
/// the script may explain it.
const LONG_GAP_MS: u64 = 5_000;
const MAX_PRINTED_VIOLATIONS: usize = 20;
/// Mean pause between two calls of one caller, in milliseconds.
const PAUSE_MS: u64 = 300;

/// Runs the seeds one after the other; any violation is an error. The files of a seed are retained
/// if it has a violation or a long gap, or if it is the only seed, whose script is also printed.
pub async fn run(fleet: &FleetOptions, options: &SoakOptions) -> Result<(), String> {
    let mut failed = Vec::new();
    for seed in options.first_seed..options.first_seed + options.seeds {
        if !run_seed(fleet, options, seed).await {
            failed.push(seed);
        }
    }
    println!("soak: {} seeds, with violations: {failed:?}", options.seeds);
    if failed.is_empty() { Ok(()) } else { Err(format!("violations at seeds {failed:?}")) }
}

/// Runs one seed and returns whether it has no violation.
async fn run_seed(fleet: &FleetOptions, options: &SoakOptions, seed: u64) -> bool {
    let size = draw_size(seed, options.large_nodes, fleet.port);
    let script = draw_script(seed, &size.shape, options.seconds);
    let steps = script.len();
    let is_single = options.seeds == 1;
    if is_single {
        for step in &script {
            println!("{:>6} ms  {:?} {:?}", step.at, step.act, step.who);
        }
    }
    let dir = format!("{}/seed-{seed}", fleet.dir);
    let mut is_finding = false;
    let violations = match local_fleet::start_shape(&size.shape, &dir).await {
        Ok(mut running) => {
            let scenario = ScenarioOptions {
                scenario: format!("seed {seed}, {} processes, {steps} steps", size.processes()),
                seconds: options.seconds,
                callers: size.callers,
                pause_ms: PAUSE_MS,
                seed,
                keeps_connections: true,
                untimed: options.untimed,
            };
            let report = scenario::run_scenario(&mut running, script, &scenario).await;
            println!("{}", report.summary);
            is_finding = report.gaps.values().any(|gap| *gap > LONG_GAP_MS);
            report.violations
        }
        Err(error) => vec![format!("seed {seed} did not start: {error}")],
    };
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  VIOLATION seed {seed}: {violation}");
    }
    if is_finding {
        println!(
            "  FINDING seed {seed}: no order was acknowledged for more than {LONG_GAP_MS} ms; files in {dir}"
        );
    } else if violations.is_empty() && !is_single {
        let _ = std::fs::remove_dir_all(&dir);
    }
    violations.is_empty()
}
