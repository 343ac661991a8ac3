//! The check of a tenant's limit in each window.
use quincehatch_core::Millis;
use quincehatch_quota::{Limit, Tolerance};

/// The most operations that ran within any window beyond what the tolerance allows; 0 if none did.
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
