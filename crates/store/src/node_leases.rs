//! The leases that a tail grants to nodes.
//!
//! A node acts on its copy of the state only while it holds a lease. A write is therefore in force on all nodes once
//! every node that holds a lease has applied it.
use crate::dismissed_leases::DismissedLeases;
use crate::messages::LeaseStatus;
use crate::timing::{NODE_LEASE, with_clock_drift};
use quincehatch_core::{ChangeNumber, Millis, Name};
use quincehatch_runtime::seam::injected_bug;
use std::collections::BTreeMap;

/// A lease that a node holds, or that an earlier tail may have granted it.
#[derive(Clone, Debug)]
struct NodeLease {
    /// When the lease has certainly ended.
    ends_at: Millis,
    /// The newest change that the node is known to have applied.
    applied: ChangeNumber,
    addr: Name,
    /// Whether this tail has granted the lease; otherwise an earlier tail may have granted it.
    is_granted_by_self: bool,
}

impl NodeLease {
    /// Returns a lease that an earlier tail may have granted. It is unknown which changes the node has applied.
    fn possibly_granted(ends_at: Millis) -> Self {
        Self { ends_at, applied: 0, addr: Name::default(), is_granted_by_self: false }
    }
}

/// The node leases that a tail knows of.
#[derive(Clone, Debug, Default)]
pub struct NodeLeases {
    leases: BTreeMap<Name, NodeLease>,
    /// Until then there may be leases of earlier tails whose holders are unknown.
    unknown_leases_until: Millis,
}

impl NodeLeases {
    /// Returns the leases of a tail that begins to serve at `now`.
    ///
    /// The tail does not know which leases earlier tails have granted, but only to which nodes they may have: to
    /// enrolled nodes and to recently dismissed ones. Each of these nodes may hold such a lease until it polls this
    /// tail or the lease term has passed.
    pub fn for_new_tail<'names>(
        now: Millis,
        enrolled: impl Iterator<Item = &'names Name>,
        dismissed: &DismissedLeases,
    ) -> Self {
        let mut leases = BTreeMap::new();
        for (node, ends_at) in dismissed.lease_ends() {
            leases.insert(node.clone(), NodeLease::possibly_granted(*ends_at));
        }
        let full_term = now + with_clock_drift(NODE_LEASE);
        for node in enrolled {
            leases.insert(node.clone(), NodeLease::possibly_granted(full_term));
        }
        Self { leases, unknown_leases_until: dismissed.unknown_leases_until() }
    }

    /// Grants or renews the lease of a node that has applied all changes up to `applied`. Returns the lease term, which
    /// the node counts from when it sent its poll.
    pub fn grant(&mut self, now: Millis, node: &Name, addr: &Name, applied: ChangeNumber) -> Millis {
        let ends_at = now + with_clock_drift(NODE_LEASE);
        let lease = NodeLease { ends_at, applied, addr: addr.clone(), is_granted_by_self: true };
        self.leases.insert(node.clone(), lease);
        NODE_LEASE
    }

    /// Returns the newest change that every node with a lease has applied; `committed` if no node has a lease.
    pub fn in_force(&mut self, now: Millis, committed: ChangeNumber) -> ChangeNumber {
        if injected_bug("early-push") {
            return committed;
        }
        self.leases.retain(|_, lease| lease.ends_at > now);
        // An unknown node may hold a lease and act on an outdated copy of the state.
        if now < self.unknown_leases_until {
            return 0;
        }
        let applied_by_all = self.leases.values().map(|lease| lease.applied).min();
        applied_by_all.unwrap_or(committed).min(committed)
    }

    /// Merges the list of leases from the previous tail, which grants no more leases. A possible lease that is not in
    /// the list does not exist, and one in the list ends no later than listed. Leases that this tail has granted do not
    /// change.
    pub fn merge_handover(&mut self, now: Millis, listed: &[LeaseStatus], unknown_leases_ms: Millis) {
        self.unknown_leases_until = self.unknown_leases_until.min(now + unknown_leases_ms);
        self.leases.retain(|node, lease| {
            if lease.is_granted_by_self {
                return true;
            }
            let Some(status) = listed.iter().find(|status| status.node == *node) else { return false };
            lease.ends_at = lease.ends_at.min(now + status.remaining_ms);
            lease.applied = lease.applied.max(status.applied);
            true
        });
    }

    /// Returns for how long there may be leases whose holders are unknown, in milliseconds.
    pub fn unknown_leases_ms(&self, now: Millis) -> Millis {
        self.unknown_leases_until.saturating_sub(now)
    }

    /// Returns the leases that have not ended.
    pub fn statuses(&self, now: Millis) -> Vec<LeaseStatus> {
        let mut statuses = Vec::new();
        for (node, lease) in self.leases.iter().filter(|(_, lease)| lease.ends_at > now) {
            statuses.push(LeaseStatus {
                node: node.clone(),
                addr: lease.addr.clone(),
                remaining_ms: lease.ends_at - now,
                applied: lease.applied,
            });
        }
        statuses
    }
}
