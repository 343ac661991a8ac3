//! The check that a tenant stays within its limit in every window.
use quincehatch_core::Millis;
use quincehatch_quota::{Limit, Tolerance};

/// Returns the largest number of operations within any window beyond the limit and its tolerance; 0 if there is no
/// excess.
pub fn worst_excess(ran: &[Millis], limit: Limit) -> u64 {
    let tolerance = Tolerance::default();
    let allowed = limit.in_window(tolerance.window);
    let tolerated = allowed + allowed * tolerance.excess_percent / 100 + tolerance.slack;
    let mut first = 0;
    let mut worst = 0;
    for (last, at) in ran.iter().enumerate() {
        while ran[first] + tolerance.window <= *at {
            first += 1;
        }
        worst = worst.max(((last - first + 1) as u64).saturating_sub(tolerated));
    }
    worst
}
