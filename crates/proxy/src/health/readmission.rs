//! How soon an ejected server is tried again.
//!
//! The wait after an ejection spares a server that is unwell, and clients that would find out. Where its group has no
//! healthy replica left, the wait spares nobody: reads crowd on a share of the primary's connections, or are rejected. An
//! ejected replica is then tried after a small part of the wait, which still doubles with each probation that fails.
use crate::health::state::Health;
use quincehatch_core::Millis;

/// The wait is divided by this for a group without a healthy replica: 2 s in place of 30 s by default.
const LAST_RESORT_DIVISOR: Millis = 15;
/// It is no shorter than this.
const MIN_LAST_RESORT_WAIT: Millis = 500;

/// Whether the group has a replica that this node gives requests to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupHealth {
    /// It has.
    SomeHealthy,
    /// All of its replicas are ejected, on probation, draining or unresponsive.
    NoneHealthy,
}

impl Health {
    /// From when on an ejected server may go on probation.
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
