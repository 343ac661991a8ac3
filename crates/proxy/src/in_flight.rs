//! Work of a group that is under way here: transactions and orders that may still change its servers (§5.5).
use quincehatch_core::Name;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

#[derive(Debug, Default)]
pub struct InFlightCounts {
    of: Mutex<BTreeMap<Name, Arc<Count>>>,
}

#[derive(Debug, Default)]
struct Count {
    open: AtomicUsize,
    held: AtomicUsize,
}

/// One piece of work; it is over when this is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Count>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// One visit that is held until the group has a lead again.
#[derive(Debug)]
pub struct QueueSlot(Arc<Count>);

impl Drop for QueueSlot {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::SeqCst);
    }
}

impl InFlightCounts {
    fn count(&self, group: &str) -> Arc<Count> {
        self.of.lock().unwrap().entry(group.into()).or_default().clone()
    }
    pub fn begin(&self, group: &str) -> InFlightGuard {
        let c = self.count(group);
        c.open.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(c)
    }
    pub fn open_count(&self, group: &str) -> usize {
        self.count(group).open.load(Ordering::SeqCst)
    }
    /// A place among those that are held, if one is left.
    pub fn enter_queue(&self, group: &str, most: usize) -> Option<QueueSlot> {
        let c = self.count(group);
        let h = QueueSlot(c.clone());
        (c.held.fetch_add(1, Ordering::SeqCst) < most).then_some(h)
    }
    pub fn queued_count(&self, group: &str) -> usize {
        self.count(group).held.load(Ordering::SeqCst)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn places_are_bounded_and_given_back() {
        let w = InFlightCounts::default();
        let a = w.enter_queue("g", 1);
        assert!(a.is_some() && w.enter_queue("g", 1).is_none());
        assert_eq!(w.queued_count("g"), 1);
        drop(a);
        assert!(w.enter_queue("g", 1).is_some());
        let b = w.begin("g");
        assert_eq!((w.open_count("g"), w.open_count("h")), (1, 0));
        drop(b);
        assert_eq!(w.open_count("g"), 0);
    }
}
