//! A tenant's limit, and how exactly it is kept.
use quincehatch_core::Millis;

const MS_PER_SECOND: u64 = 1_000;

/// How much a tenant may run on all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Operations a second.
    pub rate_per_s: u64,
    /// Operations beyond the rate after it ran less.
    pub burst: u64,
}

impl Limit {
    /// The operations that the limit allows within any time of `window` ms.
    pub fn in_window(&self, window: Millis) -> u64 {
        self.rate_per_s * window / MS_PER_SECOND + self.burst
    }
}

/// By how much a tenant may exceed its limit within any window, as there are many nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// The window in milliseconds.
    pub window: Millis,
    /// Excess in percent of what the limit allows in the window.
    pub excess_percent: u64,
    /// Operations beyond that, whatever the limit.
    pub slack: u64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Tolerance { window: 5_000, excess_percent: 10, slack: 20 }
    }
}

/// Of the tolerated excess, the divisor of the part that nodes may hold unspent. Half of it: when another keeper becomes
/// the tail, what the one before had granted is still held beside what the new one grants.
const HELD_DIVISOR: u64 = 2;

impl Tolerance {
    /// How many unspent tokens all nodes together may hold of a tenant.
    pub fn max_held(&self, limit: Limit) -> u64 {
        let excess = limit.in_window(self.window) * self.excess_percent / 100 + self.slack;
        (excess / HELD_DIVISOR).max(1)
    }
}
