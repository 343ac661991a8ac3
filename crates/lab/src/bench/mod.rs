//! `quincehatch-lab bench`: ratios, counts, and pairs measured alternately. Results are copied to docs/measurements.md
//! by hand.
pub mod capacity;
mod ejection;
mod faults;
mod gossip;
mod lookups;
mod operator;
mod overhead;
mod push;

use crate::cli::FleetOptions;
use quincehatch_capacity::fit::summarize;

/// The names of the benchmarks on clusters of real processes.
const BENCHMARKS: &str = "overhead ejection push gossip long-queries replicas-stalled faults";

/// Runs a benchmark by its name, which may be a deprecated one; each figure is measured `rounds` times.
pub async fn run(fleet: &FleetOptions, benchmark: &str, rounds: usize) -> Result<(), String> {
    match benchmark {
        "overhead" | "front" => overhead::run(fleet, rounds).await,
        "ejection" | "judges" => ejection::run(fleet, rounds).await,
        "push" => push::run(fleet, rounds).await,
        "gossip" | "mesh" => gossip::run(fleet).await,
        "long-queries" | "long" => lookups::run_long_queries(fleet, rounds).await,
        "replicas-stalled" | "all-bad" => lookups::run_all_replicas_stalled(fleet, rounds).await,
        "faults" => faults::run(fleet, rounds).await,
        other => Err(format!("there is no measurement {other:?}; there are {BENCHMARKS}")),
    }
}

/// Prints the median and spread of the figures.
fn print_spread(name: &str, unit: &str, figures: Vec<f64>) {
    let summary = summarize(figures);
    if summary.count == 0 {
        println!("{name}: no figure");
        return;
    }
    println!(
        "{name}: median {:.2} {unit}, {:.2} to {:.2}, {} runs",
        summary.median, summary.min, summary.max, summary.count
    );
}
