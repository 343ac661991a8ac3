//! Node leases at the tail (§5.6): an acknowledged write is in force at every node that may still act.
use crate::msgs::LeaseRow;
use crate::terms::{NODE_LEASE, outlast};
use qh_core::{ChangeNo, Ms, Name};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct Held {
    until: Ms,
    applied: ChangeNo,
    addr: Name,
}

#[derive(Clone, Debug, Default)]
pub struct Leases {
    held: BTreeMap<Name, Held>,
    /// Until then leases granted by an earlier tail may be out.
    unknown_until: Ms,
}

impl Leases {
    /// A tail that begins to serve at `now` knows none of the leases its forerunner granted.
    pub fn begin(now: Ms) -> Self {
        Self { held: BTreeMap::new(), unknown_until: now + outlast(NODE_LEASE) }
    }
    /// Grants or renews; the node says what it has applied. Never lowers what was known.
    pub fn grant(&mut self, now: Ms, node: &Name, addr: &Name, applied: ChangeNo) -> Ms {
        let h = self.held.entry(node.clone()).or_insert(Held { until: 0, applied: 0, addr: addr.clone() });
        h.until = now + outlast(NODE_LEASE);
        h.applied = applied;
        h.addr = addr.clone();
        NODE_LEASE
    }
    /// All up to this number is applied by whoever may still act; `committed` when nobody may.
    pub fn in_force(&mut self, now: Ms, committed: ChangeNo) -> ChangeNo {
        if qh_core::rt::broken("early-push") {
            return committed;
        }
        self.held.retain(|_, h| h.until > now);
        if now < self.unknown_until {
            return 0;
        }
        self.held.values().map(|h| h.applied).min().unwrap_or(committed).min(committed)
    }
    pub fn rows(&self, now: Ms) -> Vec<LeaseRow> {
        self.held
            .iter()
            .filter(|(_, h)| h.until > now)
            .map(|(n, h)| LeaseRow {
                node: n.clone(),
                addr: h.addr.clone(),
                left_ms: h.until - now,
                applied: h.applied,
            })
            .collect()
    }
}
