//! One node of the fleet.
use super::INTERVAL;
use quincehatch_core::{Millis, Name};
use quincehatch_quota::{Admission, Allowances};
use std::collections::VecDeque;

pub struct FleetNode {
    pub name: Name,
    pub allowances: Allowances,
    /// Operations that wait, by tenant, with the time when they give up.
    pub waiting: VecDeque<(Name, Millis)>,
    /// The settlement under way: its number, and when it is given up.
    pub under_way: Option<(u64, Millis)>,
    pub next_settlement_at: Millis,
    pub answered_at: Millis,
    pub is_cut: bool,
    pub down_until: Millis,
}

impl FleetNode {
    pub fn new(index: usize, now: Millis) -> FleetNode {
        FleetNode {
            name: format!("node-{index}").into(),
            allowances: Allowances::default(),
            waiting: VecDeque::new(),
            under_way: None,
            next_settlement_at: now + fastrand::u64(0..INTERVAL),
            answered_at: now,
            is_cut: false,
            down_until: 0,
        }
    }

    /// An operation has waited for too long: it runs on credit, or is rejected.
    pub fn end_of_wait(&mut self, now: Millis, tenant: &Name) -> Admission {
        if self.allowances.borrow(now, tenant) {
            return Admission::Admitted;
        }
        self.allowances.reject(tenant);
        Admission::Rejected
    }
}
