//! A shared cell whose value is never replaced by an older one.
//!
//! Several tasks may set values that carry a rising number. Whatever the order in which they arrive, the newest is
//! retained.
use crate::sync::RwLock;
use std::sync::Arc;

/// A value with a monotonic number.
pub trait Numbered {
    /// Whether this value is at least as new as `than`.
    fn newer_or_same(&self, than: &Self) -> bool;
}

/// A cell that holds the newest value it was set to.
#[derive(Debug, Default)]
pub struct Latest<T> {
    cell: RwLock<Arc<T>>,
}

impl<T: Numbered> Latest<T> {
    /// Creates a cell that holds `value`.
    pub fn new(value: T) -> Self {
        Self { cell: RwLock::new(Arc::new(value)) }
    }

    /// Returns the current value.
    pub fn get(&self) -> Arc<T> {
        self.cell.read().unwrap().clone()
    }

    /// Sets `value` unless it is older than the current one. Returns whether it was set.
    ///
    /// `before_publish(old, new)` runs under the same lock, before anyone can read the new value.
    pub fn set(&self, value: T, before_publish: impl FnOnce(&T, &T)) -> bool {
        let mut current = self.cell.write().unwrap();
        if !value.newer_or_same(&current) {
            return false;
        }
        before_publish(&current, &value);
        *current = Arc::new(value);
        true
    }
}
