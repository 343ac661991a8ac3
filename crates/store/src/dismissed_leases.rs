//! Leases that dismissed nodes may still hold.
use crate::messages::DismissedLease;
use crate::store::Store;
use crate::timing::{NODE_LEASE, with_clock_drift};
use quincehatch_core::{Millis, Name};
use std::collections::BTreeMap;

/// The recently dismissed nodes. A node that was dismissed without its knowledge acts on its lease until the lease term
/// has passed, so a new tail waits for these nodes as it does for enrolled nodes.
#[derive(Clone, Debug)]
pub struct DismissedLeases {
    /// Until when each dismissed node may hold a lease, by name.
    ends_at: BTreeMap<Name, Millis>,
    /// Until then unknown nodes may hold leases: those dismissed before this keeper began to record dismissals.
    unknown_leases_until: Millis,
}

impl DismissedLeases {
    /// Returns the state of a keeper that starts with a recovered store. No node was ever enrolled in an empty store.
    pub fn from_recovered(store: &Store, now: Millis) -> Self {
        let unknown_leases_until =
            if store.last_change == 0 { now } else { now + with_clock_drift(NODE_LEASE) };
        Self::new(unknown_leases_until)
    }

    /// Creates an empty set. Until `unknown_leases_until` there may be dismissed nodes that are unknown.
    pub fn new(unknown_leases_until: Millis) -> Self {
        Self { ends_at: BTreeMap::new(), unknown_leases_until }
    }

    /// Records a dismissal, and removes the nodes whose leases have ended.
    pub fn record(&mut self, node: &Name, now: Millis) {
        self.ends_at.retain(|_, ends_at| *ends_at > now);
        self.ends_at.insert(node.clone(), now + with_clock_drift(NODE_LEASE));
    }

    /// Replaces all dismissals by those that the sender of a snapshot has recorded.
    pub fn replace_all(&mut self, now: Millis, leases: Vec<DismissedLease>, unknown_leases_ms: Millis) {
        self.unknown_leases_until = now + unknown_leases_ms;
        self.ends_at.clear();
        for lease in leases {
            self.ends_at.insert(lease.node, now + lease.remaining_ms);
        }
    }

    /// Returns the known nodes and the remaining time of their leases.
    pub fn remaining(&self, now: Millis) -> Vec<DismissedLease> {
        let mut leases = Vec::new();
        for (node, ends_at) in &self.ends_at {
            leases.push(DismissedLease { node: node.clone(), remaining_ms: ends_at.saturating_sub(now) });
        }
        leases
    }

    /// Returns for how long unknown nodes may hold leases, in milliseconds.
    pub fn unknown_leases_ms(&self, now: Millis) -> Millis {
        self.unknown_leases_until.saturating_sub(now)
    }

    /// Returns until when each known node may hold a lease.
    pub(crate) fn lease_ends(&self) -> &BTreeMap<Name, Millis> {
        &self.ends_at
    }

    /// Returns until when unknown nodes may hold leases.
    pub(crate) fn unknown_leases_until(&self) -> Millis {
        self.unknown_leases_until
    }
}
