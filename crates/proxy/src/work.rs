//! Work of a group that is under way here: transactions and orders that may still change its servers (§5.5).
use quincehatch_core::Name;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

#[derive(Debug, Default)]
pub struct Works {
    of: Mutex<BTreeMap<Name, Arc<Count>>>,
}

#[derive(Debug, Default)]
struct Count {
    open: AtomicUsize,
    held: AtomicUsize,
}

/// One piece of work; it is over when this is dropped.
#[derive(Debug)]
pub struct Work(Arc<Count>);

impl Drop for Work {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// One visit that is held until the group has a lead again.
#[derive(Debug)]
pub struct Holding(Arc<Count>);

impl Drop for Holding {
    fn drop(&mut self) {
        self.0.held.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Works {
    fn count(&self, group: &str) -> Arc<Count> {
        self.of.lock().unwrap().entry(group.into()).or_default().clone()
    }
    pub fn begin(&self, group: &str) -> Work {
        let c = self.count(group);
        c.open.fetch_add(1, Ordering::SeqCst);
        Work(c)
    }
    pub fn open(&self, group: &str) -> usize {
        self.count(group).open.load(Ordering::SeqCst)
    }
    /// A place among those that are held, if one is left.
    pub fn hold(&self, group: &str, most: usize) -> Option<Holding> {
        let c = self.count(group);
        let h = Holding(c.clone());
        (c.held.fetch_add(1, Ordering::SeqCst) < most).then_some(h)
    }
    pub fn held(&self, group: &str) -> usize {
        self.count(group).held.load(Ordering::SeqCst)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn places_are_bounded_and_given_back() {
        let w = Works::default();
        let a = w.hold("g", 1);
        assert!(a.is_some() && w.hold("g", 1).is_none());
        assert_eq!(w.held("g"), 1);
        drop(a);
        assert!(w.hold("g", 1).is_some());
        let b = w.begin("g");
        assert_eq!((w.open("g"), w.open("h")), (1, 0));
        drop(b);
        assert_eq!(w.open("g"), 0);
    }
}
