//! Runs each measurement in a separate process, so that memory left by another one does not count towards it.
use quincehatch_capacity::cpu::current_thread;
use quincehatch_capacity::hollow_fleet::{self, FleetSpec};
use quincehatch_capacity::idle_sessions;
use serde_json::{Value, json};
use std::process::{Command, Stdio};

/// Number of statements sent through the sessions.
const STATEMENTS: usize = 20_000;

/// A measurement of one process.
pub enum Measurement {
    /// A cluster of hollow nodes.
    Fleet(FleetSpec),
    /// This number of idle sessions.
    Sessions(usize),
}

/// Measures in this process and prints the figures as JSON.
pub fn run_measurement(measurement: &Measurement) -> Result<(), String> {
    let figures = match measurement {
        Measurement::Fleet(spec) => measure_fleet(spec)?,
        Measurement::Sessions(count) => measure_sessions(*count)?,
    };
    println!("{figures}");
    Ok(())
}

fn measure_fleet(spec: &FleetSpec) -> Result<Value, String> {
    let dir = std::env::temp_dir().join(format!("quincehatch-capacity-{}", std::process::id()));
    let figures = hollow_fleet::measure(spec, &dir);
    let _ = std::fs::remove_dir_all(&dir);
    figures
}

fn measure_sessions(count: usize) -> Result<Value, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| error.to_string())?;
    let thread = current_thread();
    let cost = runtime.block_on(idle_sessions::measure(count, STATEMENTS, &thread));
    let cost = cost.map_err(|error| error.to_string())?;
    Ok(json!({"sessions": count, "kib": cost.session_kib, "ms_per_1000": cost.thousand_statements_ms}))
}

/// Runs a measurement in a child process with these flags and returns its figures.
pub(super) fn run_child(flags: &[(&str, usize)]) -> Result<Value, String> {
    let executable = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut command = Command::new(executable);
    command.arg("hollow");
    for (name, value) in flags {
        command.arg(format!("--{name}")).arg(value.to_string());
    }
    let output = command.stderr(Stdio::inherit()).output().map_err(|error| error.to_string())?;
    let figures: Value =
        serde_json::from_slice(&output.stdout).map_err(|error| format!("{flags:?}: {error}"))?;
    println!("  {figures}");
    Ok(figures)
}

/// Returns one figure from each run that has it.
pub(super) fn figures(runs: &[Value], name: &str) -> Vec<f64> {
    runs.iter().filter_map(|run| run[name].as_f64()).collect()
}
