//! quincehatch-lab: the command line for stand-ins of servers and the platform, clusters on one machine with load,
//! faults and checks, the simulator, and benchmarks.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]
mod bench;
mod cli;
mod local_fleet;
mod scenarios;
mod simulate;
mod soak;

use cli::Command;
use quincehatch_runtime::logging;
use quincehatch_testbed::{platform, stand_in};
use std::process::exit;

const EXIT_FAILED: i32 = 1;
const EXIT_USAGE: i32 = 2;
const WORKER_THREADS: usize = 2;

fn main() {
    let command = match cli::parse() {
        Ok(Some(command)) => command,
        Ok(None) => return,
        Err(error) => {
            eprintln!("quincehatch-lab: {error}\ntry `quincehatch-lab --help`");
            exit(EXIT_USAGE);
        }
    };
    if let Err(error) = run(command) {
        eprintln!("quincehatch-lab: {error}");
        exit(EXIT_FAILED);
    }
    // Tasks that are still running, such as a cluster's load, end with the process.
    exit(0);
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Simulate(options) => simulate::run(&options),
        // Capacity measurements start their own runtimes.
        Command::BenchCapacity { part, rounds } => bench::capacity::run(&part, rounds),
        Command::Hollow(measurement) => bench::capacity::run_measurement(&measurement),
        Command::BenchFleet { fleet, benchmark, rounds } => {
            block_on(async move { bench::run(&fleet, &benchmark, rounds).await })
        }
        Command::RunScenarios { fleet, options } => {
            block_on(async move { scenarios::run(&fleet, &options).await })
        }
        Command::Soak { fleet, options } => block_on(async move { soak::run(&fleet, &options).await }),
        Command::FleetUp(options) => block_on(async move { local_fleet::run_until_stopped(&options).await }),
        Command::StandInServer(options) => block_on(async move {
            let _log = logging::start("info")?;
            stand_in::serve(options).await.map_err(|error| error.to_string())
        }),
        Command::StandInPlatform { addr, nodes } => {
            block_on(async move { platform::serve(&addr, nodes).await.map_err(|error| error.to_string()) })
        }
    }
}

fn block_on(task: impl Future<Output = Result<(), String>>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let result = runtime.block_on(task);
    // Dropping the runtime would wait for blocking tasks.
    runtime.shutdown_background();
    result
}
