//! What the simulators print of failed seeds, and how a run of many seeds ends (§9.1).

/// Prints each failed seed with its first breaches, `most` at the most; how many seeds failed.
pub fn report<'a>(seeds: impl Iterator<Item = (u64, &'a [String])>, most: usize) -> usize {
    let mut failed = 0;
    for (seed, breaches) in seeds.filter(|(_, breaches)| !breaches.is_empty()) {
        println!("seed {seed}: {} breaches", breaches.len());
        breaches.iter().take(most).for_each(|breach| println!("  BREACH {breach}"));
        failed += 1;
    }
    failed
}

/// A run is good if no seed failed and no thread was lost on the way.
pub fn verdict(failed: usize, lost: usize) -> Result<(), String> {
    if failed == 0 && lost == 0 {
        Ok(())
    } else {
        Err(format!("{failed} seeds with breaches, {lost} threads lost"))
    }
}
