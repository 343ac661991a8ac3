//! `quincehatch-lab sim`: many seeds, side by side.
mod control;
mod direct;
mod pooled;
mod violations;

use crate::cli::{SimulatedWorld, SimulationOptions};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

/// Runs the seeds and prints what they came to; an error if any of them violated an invariant.
pub fn run(options: &SimulationOptions) -> Result<(), String> {
    match options.world {
        SimulatedWorld::Pooled => pooled::run(options),
        SimulatedWorld::Direct => direct::run(options),
        SimulatedWorld::ControlPlane => control::run(options),
    }
}

/// What the seeds came to.
struct SeedReports<Report> {
    /// In the order in which they ended.
    reports: Vec<Report>,
    /// Threads that panicked on the way.
    lost_threads: usize,
}

/// Runs every seed, on `max_threads` at most.
fn run_seeds<Report: Send + 'static>(
    options: &SimulationOptions,
    max_threads: usize,
    run_seed: fn(&SimulationOptions, u64) -> Report,
) -> SeedReports<Report> {
    let next_seed = Arc::new(AtomicU64::new(options.first_seed));
    let end = options.first_seed + options.seeds;
    let reports = Arc::new(Mutex::new(Vec::new()));
    let threads = thread::available_parallelism().map_or(2, usize::from).min(max_threads);
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

/// A digest over the traces of all seeds, in their order.
fn combined_trace(traces: impl Iterator<Item = u64>) -> u64 {
    traces.fold(0u64, |digest, trace| digest.rotate_left(7) ^ trace)
}
