//! A cell of the blackboard that never goes back (§2.7, §1 N10): writers race, the newest number stays.
use crate::sync::RwLock;
use std::sync::Arc;

/// Something with a number that only rises.
pub trait Numbered {
    fn newer_or_same(&self, than: &Self) -> bool;
}

#[derive(Debug, Default)]
pub struct Latest<T> {
    cell: RwLock<Arc<T>>,
}

impl<T: Numbered> Latest<T> {
    pub fn new(t: T) -> Self {
        Self { cell: RwLock::new(Arc::new(t)) }
    }
    pub fn get(&self) -> Arc<T> {
        self.cell.read().unwrap().clone()
    }
    /// Takes `t` unless it is older; `also` runs under the same lock, before anyone reads the new one.
    pub fn set(&self, t: T, also: impl FnOnce(&T, &T)) -> bool {
        let mut cur = self.cell.write().unwrap();
        if !t.newer_or_same(&cur) {
            return false;
        }
        also(&cur, &t);
        *cur = Arc::new(t);
        true
    }
}
