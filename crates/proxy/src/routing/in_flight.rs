//! Counts, for each server group, the transactions and writes in flight, which may still change its servers, and the
//! requests that wait for a primary.
use quincehatch_core::Name;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// The counts of all groups.
#[derive(Debug, Default)]
pub struct InFlightCounts {
    by_group: Mutex<BTreeMap<Name, Arc<GroupCounts>>>,
}

#[derive(Debug, Default)]
struct GroupCounts {
    open: AtomicUsize,
    queued: AtomicUsize,
}

/// Counts one transaction or write as in flight until the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<GroupCounts>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The queue slot of a request that waits until its group has a primary again. Dropping it frees the slot.
#[derive(Debug)]
pub struct QueueSlot(Arc<GroupCounts>);

impl Drop for QueueSlot {
    fn drop(&mut self) {
        self.0.queued.fetch_sub(1, Ordering::SeqCst);
    }
}

impl InFlightCounts {
    fn group(&self, group: &str) -> Arc<GroupCounts> {
        self.by_group.lock().unwrap().entry(group.into()).or_default().clone()
    }

    /// Counts one more transaction or write as in flight.
    pub fn begin(&self, group: &str) -> InFlightGuard {
        let counts = self.group(group);
        counts.open.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(counts)
    }

    /// Returns the number of transactions and writes in flight.
    pub fn open_count(&self, group: &str) -> usize {
        self.group(group).open.load(Ordering::SeqCst)
    }

    /// Returns a slot in the group's queue if fewer than `capacity` slots are taken.
    pub fn enter_queue(&self, group: &str, capacity: usize) -> Option<QueueSlot> {
        let counts = self.group(group);
        let slot = QueueSlot(counts.clone());
        let queued_before = counts.queued.fetch_add(1, Ordering::SeqCst);
        (queued_before < capacity).then_some(slot)
    }

    /// Returns the number of waiting requests.
    pub fn queued_count(&self, group: &str) -> usize {
        self.group(group).queued.load(Ordering::SeqCst)
    }
}
