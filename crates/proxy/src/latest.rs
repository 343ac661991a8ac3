//! A shared cell whose value is never replaced by an older one.
//!
//! Several tasks may bring values that carry a rising number; whatever order they come in, the newest stays.
use crate::sync::RwLock;
use std::sync::Arc;

/// A value with a number that only rises.
pub trait Numbered {
    /// Whether this value is at least as new as `than`.
    fn newer_or_same(&self, than: &Self) -> bool;
}

/// Holds the newest value it was given.
#[derive(Debug, Default)]
pub struct Latest<T> {
    cell: RwLock<Arc<T>>,
}

impl<T: Numbered> Latest<T> {
    /// A cell that holds `value`.
    pub fn new(value: T) -> Self {
        Self { cell: RwLock::new(Arc::new(value)) }
    }

    /// The value of this moment.
    pub fn get(&self) -> Arc<T> {
        self.cell.read().unwrap().clone()
    }

    /// Takes `value` unless it is older than the one held; says whether it was taken.
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
