//! The leases that a tail grants to nodes.
//!
//! A node acts on its copy of the state only while it holds a lease. A write is therefore in force everywhere once every
//! node with a lease has applied it.
use crate::dismissed_leases::DismissedLeases;
use crate::messages::LeaseStatus;
use crate::timing::{NODE_LEASE, with_clock_drift};
use quincehatch_core::{ChangeNumber, Millis, Name};
use quincehatch_runtime::seam::injected_bug;
use std::collections::BTreeMap;

/// A lease that a node holds or may hold.
#[derive(Clone, Debug)]
struct NodeLease {
    until: Millis,
    /// The newest change that the node is known to have applied.
    applied: ChangeNumber,
    addr: Name,
    /// This tail has granted it; otherwise an earlier tail may have.
    is_own: bool,
}

impl NodeLease {
    /// A lease that an earlier tail may have granted. Nothing is known of what the node has applied.
    fn possible(until: Millis) -> Self {
        Self { until, applied: 0, addr: Name::default(), is_own: false }
    }
}

/// The node leases that a tail knows of.
#[derive(Clone, Debug, Default)]
pub struct NodeLeases {
    leases: BTreeMap<Name, NodeLease>,
    /// Until then there may be leases of earlier tails whose holders are not known.
    unknown_until: Millis,
}

impl NodeLeases {
    /// The leases of a tail that begins to serve at `now`.
    ///
    /// It does not know which leases its predecessors granted, but to whom they may have: to enrolled nodes and to those
    /// dismissed recently. Each of these may hold a lease until it polls here or the term has passed.
    pub fn begin<'names>(
        now: Millis,
        enrolled: impl Iterator<Item = &'names Name>,
        dismissed: &DismissedLeases,
    ) -> Self {
        let mut leases = BTreeMap::new();
        for (node, until) in dismissed.known() {
            leases.insert(node.clone(), NodeLease::possible(*until));
        }
        let full_term = now + with_clock_drift(NODE_LEASE);
        for node in enrolled {
            leases.insert(node.clone(), NodeLease::possible(full_term));
        }
        Self { leases, unknown_until: dismissed.unknown_until() }
    }

    /// Grants or renews a lease to a node that has applied all changes up to `applied`. Returns the term for the node,
    /// which counts it from when it sent its poll.
    pub fn grant(&mut self, now: Millis, node: &Name, addr: &Name, applied: ChangeNumber) -> Millis {
        let until = now + with_clock_drift(NODE_LEASE);
        let lease = NodeLease { until, applied, addr: addr.clone(), is_own: true };
        self.leases.insert(node.clone(), lease);
        NODE_LEASE
    }

    /// The newest change that every node with a lease has applied; `committed` if no node has a lease.
    pub fn in_force(&mut self, now: Millis, committed: ChangeNumber) -> ChangeNumber {
        if injected_bug("early-push") {
            return committed;
        }
        self.leases.retain(|_, lease| lease.until > now);
        // A node that nobody here knows of may still act on an old copy.
        if now < self.unknown_until {
            return 0;
        }
        let applied_by_all = self.leases.values().map(|lease| lease.applied).min();
        applied_by_all.unwrap_or(committed).min(committed)
    }

    /// Takes over what the tail before knew, which grants no more leases. A possible lease that it does not list does
    /// not exist, and one that it lists ends no later than it says. Leases granted here stay as they are.
    pub fn merge_handover(&mut self, now: Millis, listed: &[LeaseStatus], unknown_leases_ms: Millis) {
        self.unknown_until = self.unknown_until.min(now + unknown_leases_ms);
        self.leases.retain(|node, lease| {
            if lease.is_own {
                return true;
            }
            let Some(status) = listed.iter().find(|status| status.node == *node) else { return false };
            lease.until = lease.until.min(now + status.remaining_ms);
            lease.applied = lease.applied.max(status.applied);
            true
        });
    }

    /// For how long there may be leases whose holders are not known.
    pub fn unknown_leases_ms(&self, now: Millis) -> Millis {
        self.unknown_until.saturating_sub(now)
    }

    /// The leases that have not ended.
    pub fn statuses(&self, now: Millis) -> Vec<LeaseStatus> {
        let mut statuses = Vec::new();
        for (node, lease) in self.leases.iter().filter(|(_, lease)| lease.until > now) {
            statuses.push(LeaseStatus {
                node: node.clone(),
                addr: lease.addr.clone(),
                remaining_ms: lease.until - now,
                applied: lease.applied,
            });
        }
        statuses
    }
}
