//! A fleet of nodes and the tail that settles with them, in steps of virtual time. Messages can be lost, nodes cut off
//! or killed and restarted, the tail replaced, and tenants can run more operations than their limits allow.
use quincehatch_core::{Millis, Name};
use quincehatch_quota::{Admission, Claim, Ledger, Limit, Settlement, Tolerance};
use std::collections::{BTreeMap, VecDeque};

mod node;
mod window;

use node::FleetNode;
pub use window::worst_excess;

pub const STEP: Millis = 5;
/// The time between two settlements of a node.
const INTERVAL: Millis = 400;
/// A settlement fails if it is not answered within this time.
const SETTLE_TIMEOUT: Millis = 60;
/// The latency of a message.
const LATENCY: Millis = 5;
/// A node without an answer from the tail for this long has lost its lease and runs no operations.
const LEASE: Millis = 4_000;

/// An injected bug that the checks must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    None,
    /// The former tail continues to grant tokens beside the new one.
    TwoTails,
    /// A node applies each grant twice.
    GrantAppliedTwice,
    /// Operations that nodes ran on credit are never charged.
    CreditForgotten,
}

/// One tenant and the load of its clients.
#[derive(Clone, Debug)]
pub struct Load {
    pub tenant: Name,
    pub limit: Limit,
    /// Operations per second over all nodes.
    pub per_s: f64,
    /// The number of nodes that its clients use.
    pub nodes: usize,
}

/// A message in flight.
enum Message {
    Claims { node: usize, settlement: u64, claims: Vec<Claim> },
    Granted { node: usize, settlement: u64, answer: Settlement },
}

pub struct Fleet {
    pub now: Millis,
    pub nodes: Vec<FleetNode>,
    pub loads: Vec<Load>,
    pub loss_percent: u32,
    tails: Vec<Ledger>,
    /// There is no tail until this time.
    pub no_tail_until: Millis,
    messages: VecDeque<(Millis, Message)>,
    next_settlement: u64,
    bug: Bug,
    /// The times at which operations ran, by tenant.
    pub ran: BTreeMap<Name, Vec<Millis>>,
    pub rejected: BTreeMap<Name, u64>,
}

impl Fleet {
    pub fn new(nodes: usize, loads: Vec<Load>, bug: Bug) -> Fleet {
        let mut fleet = Fleet {
            now: 0,
            nodes: (0..nodes).map(|index| FleetNode::new(index, 0)).collect(),
            loads,
            loss_percent: 0,
            tails: Vec::new(),
            no_tail_until: 0,
            messages: VecDeque::new(),
            next_settlement: 0,
            bug,
            ran: BTreeMap::new(),
            rejected: BTreeMap::new(),
        };
        fleet.change_tail(0);
        fleet
    }

    /// Removes the tail; a new one takes over after `gap`.
    pub fn change_tail(&mut self, gap: Millis) {
        if self.bug != Bug::TwoTails {
            self.tails.clear();
        }
        let mut ledger = Ledger::new(self.now + gap, self.nodes.len(), Tolerance::default());
        let limits = self.loads.iter().map(|load| (load.tenant.clone(), load.limit)).collect();
        ledger.set_limits(self.now + gap, 1, &limits);
        self.tails.push(ledger);
        self.no_tail_until = self.now + gap;
    }

    /// Kills a node's process, which loses its tokens; the node restarts after `down`.
    pub fn kill(&mut self, index: usize, down: Millis) {
        let restart_at = self.now + down;
        self.nodes[index] = FleetNode { down_until: restart_at, ..FleetNode::new(index, restart_at) };
    }

    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            self.generate_load();
            self.settle();
        }
    }

    fn has_lease(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        self.now >= node.down_until && self.now < node.answered_at + LEASE
    }

    fn generate_load(&mut self) {
        for load in self.loads.clone() {
            let mut expected = load.per_s * STEP as f64 / 1_000.0;
            while expected > 0.0 {
                if fastrand::f64() < expected {
                    let node = fastrand::usize(0..load.nodes.min(self.nodes.len()));
                    self.operation(node, &load.tenant);
                }
                expected -= 1.0;
            }
        }
    }

    fn operation(&mut self, index: usize, tenant: &Name) {
        if !self.has_lease(index) {
            return;
        }
        let now = self.now;
        let node = &mut self.nodes[index];
        let admission = node.allowances.admit(now, tenant);
        if admission == Admission::Wait {
            node.waiting.push_back((tenant.clone(), now + SETTLE_TIMEOUT));
            node.next_settlement_at = now;
        }
        self.record(tenant, admission);
    }

    fn record(&mut self, tenant: &Name, admission: Admission) {
        match admission {
            Admission::Admitted => self.ran.entry(tenant.clone()).or_default().push(self.now),
            Admission::Rejected => *self.rejected.entry(tenant.clone()).or_default() += 1,
            Admission::Wait => {}
        }
    }

    fn settle(&mut self) {
        for index in 0..self.nodes.len() {
            self.expire_waiting(index);
            let now = self.now;
            let node = &mut self.nodes[index];
            if node.in_flight.is_some_and(|(_, until)| until <= now) {
                node.in_flight = None;
                node.allowances.settlement_failed(now);
            }
            if now < node.down_until || node.in_flight.is_some() || now < node.next_settlement_at {
                continue;
            }
            let claims = node.allowances.begin_settlement(now, INTERVAL);
            node.next_settlement_at = now + INTERVAL;
            if claims.is_empty() {
                let reaches_tail = !node.is_cut_off && now >= self.no_tail_until;
                if reaches_tail {
                    node.answered_at = now;
                    let tail = index % self.tails.len();
                    self.tails[tail].record_contact(now, &node.name);
                }
                continue;
            }
            self.next_settlement += 1;
            let settlement = self.next_settlement;
            node.in_flight = Some((settlement, now + SETTLE_TIMEOUT));
            let is_lost = node.is_cut_off || fastrand::u32(0..100) < self.loss_percent;
            if !is_lost {
                self.messages.push_back((now + LATENCY, Message::Claims { node: index, settlement, claims }));
            }
        }
    }

    fn expire_waiting(&mut self, index: usize) {
        while let Some((tenant, until)) = self.nodes[index].waiting.front().cloned() {
            if until > self.now {
                return;
            }
            self.nodes[index].waiting.pop_front();
            self.nodes[index].allowances.stop_waiting(&tenant);
            let admission = self.nodes[index].end_wait(self.now, &tenant);
            self.record(&tenant, admission);
        }
    }

    fn deliver(&mut self) {
        while self.messages.front().is_some_and(|(at, _)| *at <= self.now) {
            let Some((_, message)) = self.messages.pop_front() else { return };
            match message {
                Message::Claims { node, settlement, claims } => self.deliver_claims(node, settlement, claims),
                Message::Granted { node, settlement, answer } => {
                    self.deliver_answer(node, settlement, &answer)
                }
            }
        }
    }

    fn deliver_claims(&mut self, node: usize, settlement: u64, mut claims: Vec<Claim>) {
        if self.now < self.no_tail_until {
            return;
        }
        if self.bug == Bug::CreditForgotten {
            claims.iter_mut().for_each(|claim| claim.overdrawn = 0);
        }
        let tail = node % self.tails.len();
        let answer = self.tails[tail].settle(self.now, &self.nodes[node].name.clone(), &claims);
        if !self.nodes[node].is_cut_off && fastrand::u32(0..100) >= self.loss_percent {
            self.messages.push_back((self.now + LATENCY, Message::Granted { node, settlement, answer }));
        }
    }

    fn deliver_answer(&mut self, index: usize, settlement: u64, answer: &Settlement) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.in_flight.is_none_or(|(number, _)| number != settlement) {
            return;
        }
        node.in_flight = None;
        node.answered_at = now;
        node.allowances.settlement_completed(now, answer);
        if self.bug == Bug::GrantAppliedTwice {
            node.allowances.settlement_completed(now, answer);
        }
        for (tenant, until) in std::mem::take(&mut self.nodes[index].waiting) {
            let admission = self.nodes[index].allowances.admit_waiting(now, &tenant);
            if admission == Admission::Wait {
                self.nodes[index].waiting.push_back((tenant, until));
                self.nodes[index].next_settlement_at = now;
                continue;
            }
            self.nodes[index].allowances.stop_waiting(&tenant);
            self.record(&tenant, admission);
        }
    }
}
