//! The limit of a tenant, and the tolerance with which it is enforced.
use quincehatch_core::Millis;

const MS_PER_SECOND: u64 = 1_000;

/// The operations that a tenant may run on all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Operations per second.
    pub rate_per_s: u64,
    /// Additional operations that the tenant may run after a time below the rate.
    pub burst: u64,
}

impl Limit {
    /// Returns the number of operations that the limit allows within any period of `window` ms.
    pub fn in_window(&self, window: Millis) -> u64 {
        self.rate_per_s * window / MS_PER_SECOND + self.burst
    }
}

/// The excess over its limit that a tenant may reach within any window, as many nodes admit its operations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// The length of the window in milliseconds.
    pub window: Millis,
    /// The tolerated excess in percent of the operations that the limit allows in the window.
    pub excess_percent: u64,
    /// Operations tolerated in addition, independent of the limit.
    pub slack: u64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Tolerance { window: 5_000, excess_percent: 10, slack: 20 }
    }
}

/// Nodes may hold the tolerated excess divided by this as unspent tokens. It is a half because after a change of the
/// tail, nodes still hold tokens of the former tail in addition to those that the new tail grants.
const HELD_DIVISOR: u64 = 2;

impl Tolerance {
    /// Returns the number of unspent tokens of a tenant that all nodes together may hold.
    pub fn max_held(&self, limit: Limit) -> u64 {
        let excess = limit.in_window(self.window) * self.excess_percent / 100 + self.slack;
        (excess / HELD_DIVISOR).max(1)
    }
}
