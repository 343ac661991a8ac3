//! Leases that dismissed nodes may still hold.
use crate::messages::DismissedLease;
use crate::store::Store;
use crate::timing::{NODE_LEASE, with_clock_drift};
use quincehatch_core::{Millis, Name};
use std::collections::BTreeMap;

/// Recently dismissed nodes. A node that was dismissed without its knowledge acts on its lease until the term has
/// passed, so a new tail waits for these nodes as for the enrolled ones.
#[derive(Clone, Debug)]
pub struct DismissedLeases {
    /// Until when each node may hold a lease.
    until: BTreeMap<Name, Millis>,
    /// Until then there may be further nodes: those dismissed before this keeper took note.
    unknown_until: Millis,
}

impl DismissedLeases {
    /// What a keeper knows that starts from a store. An empty one has never enrolled a node.
    pub fn of_recovered(store: &Store, now: Millis) -> Self {
        let unknown_until = if store.last_change == 0 { now } else { now + with_clock_drift(NODE_LEASE) };
        Self::new(unknown_until)
    }

    /// No node is known to be dismissed; until `unknown_until` there may be some.
    pub fn new(unknown_until: Millis) -> Self {
        Self { until: BTreeMap::new(), unknown_until }
    }

    /// Takes note of a dismissal, and forgets those whose leases have ended.
    pub fn note(&mut self, node: &Name, now: Millis) {
        self.until.retain(|_, until| *until > now);
        self.until.insert(node.clone(), now + with_clock_drift(NODE_LEASE));
    }

    /// Replaces what is known by what the sender of a snapshot knows.
    pub fn take_over(&mut self, now: Millis, leases: Vec<DismissedLease>, unknown_leases_ms: Millis) {
        self.unknown_until = now + unknown_leases_ms;
        self.until.clear();
        for lease in leases {
            self.until.insert(lease.node, now + lease.remaining_ms);
        }
    }

    /// The known nodes, with the rest of their terms.
    pub fn remaining(&self, now: Millis) -> Vec<DismissedLease> {
        let mut leases = Vec::new();
        for (node, until) in &self.until {
            leases.push(DismissedLease { node: node.clone(), remaining_ms: until.saturating_sub(now) });
        }
        leases
    }

    /// For how long there may be leases of nodes that are not known.
    pub fn unknown_leases_ms(&self, now: Millis) -> Millis {
        self.unknown_until.saturating_sub(now)
    }

    /// Until when each known node may hold a lease.
    pub(crate) fn known(&self) -> &BTreeMap<Name, Millis> {
        &self.until
    }

    /// Until when there may be leases of nodes that are not known.
    pub(crate) fn unknown_until(&self) -> Millis {
        self.unknown_until
    }
}
