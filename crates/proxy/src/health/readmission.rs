//! How soon an ejected server goes on probation.
//!
//! The wait after an ejection protects a server that is unhealthy, and the clients whose requests would fail there. If
//! the group has no healthy replica left, the wait does not help: reads compete for a share of the primary's
//! connections, or are rejected. An ejected replica then goes on probation after a small part of the wait, which still
//! doubles with each failed probation.
use crate::health::state::Health;
use quincehatch_core::Millis;

/// The wait is divided by this for a group without a healthy replica: 2 s in place of 30 s by default.
const LAST_RESORT_DIVISOR: Millis = 15;
/// The shortest wait for a group without a healthy replica.
const MIN_LAST_RESORT_WAIT: Millis = 500;

/// Whether the group has a replica that this node sends requests to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupHealth {
    /// At least one replica is healthy.
    SomeHealthy,
    /// All replicas are ejected, on probation, draining or unresponsive.
    NoneHealthy,
}

impl Health {
    /// Returns the time from which an ejected server may go on probation.
    pub fn probation_due_at(&self, group: GroupHealth) -> Millis {
        match group {
            GroupHealth::SomeHealthy => self.ejected_until,
            GroupHealth::NoneHealthy => {
                let wait = (self.ejected_for / LAST_RESORT_DIVISOR).max(MIN_LAST_RESORT_WAIT);
                self.ejected_until - self.ejected_for + wait.min(self.ejected_for)
            }
        }
    }
}
