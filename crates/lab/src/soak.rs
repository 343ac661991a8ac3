//! `quincehatch-lab soak`: drawn scripts of overlapping faults on clusters of real processes of drawn sizes.
use crate::cli::{FleetOptions, SoakOptions};
use crate::local_fleet;
use quincehatch_testbed::scenario::{self, ScenarioOptions};
use quincehatch_testbed::soak::{draw_script, draw_size};

const MAX_PRINTED_VIOLATIONS: usize = 20;
/// Mean pause between two calls of one caller, in milliseconds.
const PAUSE_MS: u64 = 300;

/// Runs the seeds one after the other; any violation is an error. The files of the last run, and of each with a
/// violation, are kept.
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

/// Runs one seed; whether it is clean.
async fn run_seed(fleet: &FleetOptions, options: &SoakOptions, seed: u64) -> bool {
    let size = draw_size(seed, options.large_nodes, fleet.port);
    let script = draw_script(seed, &size.shape, options.seconds);
    let steps = script.len();
    let dir = format!("{}/seed-{seed}", fleet.dir);
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
            report.violations
        }
        Err(error) => vec![format!("seed {seed} did not start: {error}")],
    };
    for violation in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  VIOLATION seed {seed}: {violation}");
    }
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    violations.is_empty()
}
