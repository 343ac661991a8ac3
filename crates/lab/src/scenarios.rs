//! `quincehatch-lab try`: fault scenarios on clusters of real processes.
use crate::cli::FleetOptions;
use crate::local_fleet;
use quincehatch_testbed::scenario::{self, ScenarioOptions};
use quincehatch_testbed::script;

/// The scenario name that selects all scenarios.
const ALL: &str = "all";
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Runs one scenario or all of them, each on a separate cluster; any violation is an error.
pub async fn run(fleet: &FleetOptions, options: &ScenarioOptions) -> Result<(), String> {
    let names: Vec<&str> = match options.scenario.as_str() {
        ALL => script::SCENARIO_NAMES.to_vec(),
        name => vec![name],
    };
    let mut violations = 0;
    for name in names {
        violations += run_one(fleet, name, options).await?;
    }
    if violations == 0 { Ok(()) } else { Err(format!("{violations} violations")) }
}

/// Runs one scenario and returns the number of violations.
async fn run_one(fleet: &FleetOptions, name: &str, options: &ScenarioOptions) -> Result<usize, String> {
    let steps = script::named(name).ok_or_else(|| {
        format!("there is no scenario {name:?}; there are {}", script::SCENARIO_NAMES.join(" "))
    })?;
    let mut running = local_fleet::start(fleet).await?;
    let options = ScenarioOptions { scenario: name.into(), ..options.clone() };
    let report = scenario::run_scenario(&mut running, steps, &options).await;
    println!("{}", report.summary);
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  VIOLATION {violation}");
    }
    Ok(report.violations.len())
}
