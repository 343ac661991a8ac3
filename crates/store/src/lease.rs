//! Node leases at the tail (§5.6): an acknowledged write is in force at every node that may still act.
use crate::messages::LeaseStatus;
use crate::terms::{NODE_LEASE, with_clock_drift};
use quincehatch_core::{ChangeNumber, Millis, Name};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct Held {
    until: Millis,
    applied: ChangeNumber,
    addr: Name,
    /// It polled here; else it is only one that may hold a lease.
    heard: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Leases {
    held: BTreeMap<Name, Held>,
    /// Until then leases granted by an earlier tail may be out.
    unknown_until: Millis,
}

impl Leases {
    /// A tail that begins to serve at `now` does not know what its forerunner granted, but to whom it may have: nodes
    /// that are enrolled, and those dismissed lately. Each of them may hold a lease until it is heard of, or a lease's
    /// term is over; `unknown_leases_until` stands for those that nobody can name.
    pub fn begin<'a>(
        now: Millis,
        enrolled: impl Iterator<Item = &'a Name>,
        dismissed_leases: &BTreeMap<Name, Millis>,
        unknown_leases_until: Millis,
    ) -> Self {
        let may = |until: Millis| Held { until, applied: 0, addr: Name::default(), heard: false };
        let mut held: BTreeMap<Name, Held> =
            dismissed_leases.iter().map(|(n, until)| (n.clone(), may(*until))).collect();
        held.extend(enrolled.map(|n| (n.clone(), may(now + with_clock_drift(NODE_LEASE)))));
        Self { held, unknown_until: unknown_leases_until }
    }
    /// Grants or renews; the node says what it has applied. Never lowers what was known.
    pub fn grant(&mut self, now: Millis, node: &Name, addr: &Name, applied: ChangeNumber) -> Millis {
        let until = now + with_clock_drift(NODE_LEASE);
        self.held.insert(node.clone(), Held { until, applied, addr: addr.clone(), heard: true });
        NODE_LEASE
    }
    /// All up to this number is applied by whoever may still act; `committed` when nobody may.
    pub fn in_force(&mut self, now: Millis, committed: ChangeNumber) -> ChangeNumber {
        if quincehatch_runtime::seam::injected_bug("early-push") {
            return committed;
        }
        self.held.retain(|_, h| h.until > now);
        if now < self.unknown_until {
            return 0;
        }
        self.held.values().map(|h| h.applied).min().unwrap_or(committed).min(committed)
    }
    /// What the tail before knew, which grants no more: who holds none is not waited for, nor any for longer than it
    /// holds one.
    pub fn merge_handover(&mut self, now: Millis, rows: &[LeaseStatus], unknown_leases: Millis) {
        self.unknown_until = self.unknown_until.min(now + unknown_leases);
        self.held.retain(|n, h| match rows.iter().find(|r| r.node == *n) {
            _ if h.heard => true,
            Some(r) => {
                h.until = h.until.min(now + r.remaining_ms);
                h.applied = h.applied.max(r.applied);
                true
            }
            None => false,
        });
    }
    pub fn unknown_leases_ms(&self, now: Millis) -> Millis {
        self.unknown_until.saturating_sub(now)
    }
    pub fn statuses(&self, now: Millis) -> Vec<LeaseStatus> {
        self.held
            .iter()
            .filter(|(_, h)| h.until > now)
            .map(|(n, h)| LeaseStatus {
                node: n.clone(),
                addr: h.addr.clone(),
                remaining_ms: h.until - now,
                applied: h.applied,
            })
            .collect()
    }
}
