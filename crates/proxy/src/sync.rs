//! Locks of the shards; under `--cfg qh_loom` the checker's own, so that all interleavings are tried (§9.3).
#[cfg(qh_loom)]
pub use loom::sync::{Arc, Mutex, RwLock};
#[cfg(not(qh_loom))]
pub use std::sync::{Arc, Mutex, RwLock};
