//! `quincehatch-lab sim`: many seeds, side by side (§9.1).
use crate::args::Sim;
use crate::breaches;
use quincehatch_simulator::fleet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// Breaches of one seed that are printed at most.
pub const REPORTED: usize = 8;

/// Runs every seed by `one`; what they came to, and how many threads were lost on the way.
pub fn each<R: Send + 'static>(
    s: &Sim,
    most: usize,
    one: impl Fn(&Sim, u64) -> R + Clone + Send + 'static,
) -> (Vec<R>, usize) {
    let next = Arc::new(AtomicU64::new(s.from));
    let end = s.from + s.seeds;
    let all = Arc::new(Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism().map_or(2, usize::from).min(most);
    let tasks: Vec<_> = (0..threads)
        .map(|_| {
            let (next, all, s, one) = (next.clone(), all.clone(), s.clone(), one.clone());
            std::thread::spawn(move || {
                loop {
                    let seed = next.fetch_add(1, Ordering::SeqCst);
                    if seed >= end {
                        return;
                    }
                    let r = one(&s, seed);
                    all.lock().unwrap().push(r);
                }
            })
        })
        .collect();
    let lost = tasks.into_iter().map(std::thread::JoinHandle::join).filter(Result::is_err).count();
    let all = std::mem::take(&mut *all.lock().unwrap());
    (all, lost)
}

fn one(s: &Sim, seed: u64) -> fleet::Report {
    let groups = if seed.is_multiple_of(8) { 3 } else { 1 };
    let (keepers, nodes, bug) = (s.keepers, s.nodes, s.bug.clone());
    fleet::run_seed(&fleet::SimOptions {
        seed,
        keepers,
        nodes,
        groups,
        final_fault: s.last,
        promotion_faults: s.hands,
        bug,
        verbose: s.seeds == 1,
    })
}

pub fn run(s: &Sim) -> Result<(), String> {
    let (mut all, lost) = each(s, 8, one);
    all.sort_by_key(|r| r.seed);
    let sum = |f: &dyn Fn(&fleet::Report) -> usize| all.iter().map(f).sum::<usize>();
    let failed = breaches::report(all.iter().map(|r| (r.seed, r.violations.as_slice())), REPORTED);
    let worst = all.iter().map(|r| r.longest_outage_ms).max().unwrap_or(0);
    println!(
        "{} seeds: {} tries, {} kept, {} reads, {} pushes, {} promotions, {} messages, slowest back {} ms, trace {:016x}",
        all.len(),
        sum(&|r| r.attempts),
        sum(&|r| r.committed),
        sum(&|r| r.reads),
        sum(&|r| r.pushes),
        sum(&|r| r.promotions),
        all.iter().map(|r| r.messages_sent).sum::<u64>(),
        worst,
        all.iter().fold(0u64, |a, r| a.rotate_left(7) ^ r.trace)
    );
    breaches::verdict(failed, lost)
}
