//! Runs many seeds of one simulated world and prints their results.
use crate::cli::SimulationOptions;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

/// The result of one seed.
pub(super) trait SeedReport: Send + 'static {
    fn seed(&self) -> u64;
    /// Returns a digest of all events of the run.
    fn trace(&self) -> u64;
    /// Returns the violations of invariants.
    fn violations(&self) -> &[String];
}

/// A kind of simulated world, with its runner and its output.
pub(super) struct World<Report> {
    pub(super) max_threads: usize,
    /// Largest number of violations printed for one seed.
    pub(super) max_printed_violations: usize,
    pub(super) run_seed: fn(&SimulationOptions, u64) -> Report,
    /// Formats the figures over all seeds, without the number of seeds and the digest.
    pub(super) summary: fn(&[Report]) -> String,
    /// Prints details of the seeds in addition to their violations.
    pub(super) print_details: fn(&SimulationOptions, &[Report]),
}

/// Runs the seeds and prints their results. The run succeeds if no seed has violations and no thread panicked.
pub(super) fn run_world<Report: SeedReport>(
    world: &World<Report>,
    options: &SimulationOptions,
) -> Result<(), String> {
    let SeedReports { mut reports, lost_threads } = run_seeds(world, options);
    reports.sort_by_key(Report::seed);
    let failed_seeds = print_failed_seeds(&reports, world.max_printed_violations);
    (world.print_details)(options, &reports);
    let summary = (world.summary)(&reports);
    println!("{} seeds: {summary}, trace {:016x}", reports.len(), combined_trace(&reports));
    if failed_seeds == 0 && lost_threads == 0 {
        return Ok(());
    }
    Err(format!("{failed_seeds} seeds with violations, {lost_threads} threads lost"))
}

struct SeedReports<Report> {
    /// In the order in which the seeds ended.
    reports: Vec<Report>,
    /// Number of threads that panicked.
    lost_threads: usize,
}

fn run_seeds<Report: SeedReport>(world: &World<Report>, options: &SimulationOptions) -> SeedReports<Report> {
    let next_seed = Arc::new(AtomicU64::new(options.first_seed));
    let end = options.first_seed + options.seeds;
    let reports = Arc::new(Mutex::new(Vec::new()));
    let threads = thread::available_parallelism().map_or(2, usize::from).min(world.max_threads);
    let run_seed = world.run_seed;
    let mut handles: Vec<JoinHandle<()>> = Vec::new();
    for _ in 0..threads {
        let (next_seed, reports, options) = (next_seed.clone(), reports.clone(), options.clone());
        handles.push(thread::spawn(move || {
            loop {
                let seed = next_seed.fetch_add(1, Ordering::SeqCst);
                if seed >= end {
                    return;
                }
                let report = run_seed(&options, seed);
                reports.lock().unwrap().push(report);
            }
        }));
    }
    let lost_threads = handles.into_iter().map(JoinHandle::join).filter(Result::is_err).count();
    let reports = std::mem::take(&mut *reports.lock().unwrap());
    SeedReports { reports, lost_threads }
}

/// Prints each failed seed with its first violations and returns the number of failed seeds.
fn print_failed_seeds<Report: SeedReport>(reports: &[Report], max_printed: usize) -> usize {
    let mut failed = 0;
    for report in reports {
        let violations = report.violations();
        if violations.is_empty() {
            continue;
        }
        failed += 1;
        println!("seed {}: {} violations", report.seed(), violations.len());
        for violation in violations.iter().take(max_printed) {
            println!("  VIOLATION {violation}");
        }
    }
    failed
}

/// Returns a digest over the traces of all seeds, in order of the seeds.
fn combined_trace<Report: SeedReport>(reports: &[Report]) -> u64 {
    reports.iter().fold(0u64, |digest, report| digest.rotate_left(7) ^ report.trace())
}
