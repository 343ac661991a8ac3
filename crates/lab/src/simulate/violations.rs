//! What is printed of failed seeds, and how a run of many seeds ends.

/// A seed and the invariants it violated.
pub(super) struct SeedViolations<'report> {
    pub(super) seed: u64,
    pub(super) violations: &'report [String],
}

/// Prints each failed seed with its first violations, `max_printed` at most; how many seeds failed.
pub(super) fn print_failed_seeds<'report>(
    seeds: impl Iterator<Item = SeedViolations<'report>>,
    max_printed: usize,
) -> usize {
    let mut failed = 0;
    for seed in seeds {
        if seed.violations.is_empty() {
            continue;
        }
        failed += 1;
        println!("seed {}: {} violations", seed.seed, seed.violations.len());
        for violation in seed.violations.iter().take(max_printed) {
            println!("  VIOLATION {violation}");
        }
    }
    failed
}

/// A run succeeds if no seed failed and no thread was lost on the way.
pub(super) fn conclude(failed_seeds: usize, lost_threads: usize) -> Result<(), String> {
    if failed_seeds == 0 && lost_threads == 0 {
        return Ok(());
    }
    Err(format!("{failed_seeds} seeds with violations, {lost_threads} threads lost"))
}
