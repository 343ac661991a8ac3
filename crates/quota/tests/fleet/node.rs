//! One node of the simulated fleet.
use super::INTERVAL;
use quincehatch_core::{Millis, Name};
use quincehatch_quota::{Admission, Allowances};
use std::collections::VecDeque;

pub struct FleetNode {
    pub name: Name,
    pub allowances: Allowances,
    /// The operations that wait: the tenant of each, and the time at which the wait ends.
    pub waiting: VecDeque<(Name, Millis)>,
    /// The settlement in flight: its number and the time at which it fails.
    pub in_flight: Option<(u64, Millis)>,
    pub next_settlement_at: Millis,
    pub answered_at: Millis,
    pub is_cut_off: bool,
    pub down_until: Millis,
}

impl FleetNode {
    pub fn new(index: usize, now: Millis) -> FleetNode {
        FleetNode {
            name: format!("node-{index}").into(),
            allowances: Allowances::default(),
            waiting: VecDeque::new(),
            in_flight: None,
            next_settlement_at: now + fastrand::u64(0..INTERVAL),
            answered_at: now,
            is_cut_off: false,
            down_until: 0,
        }
    }

    /// Decides on an operation that has waited too long: it runs on credit or is rejected.
    pub fn end_wait(&mut self, now: Millis, tenant: &Name) -> Admission {
        if self.allowances.try_run_on_credit(now, tenant) {
            return Admission::Admitted;
        }
        self.allowances.reject(tenant);
        Admission::Rejected
    }
}
