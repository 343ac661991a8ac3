//! Locks of the shards; under `--cfg loom` the checker's own, so that all interleavings are tried (§9.3).
#[cfg(loom)]
pub use loom::sync::{Arc, Mutex};
#[cfg(not(loom))]
pub use std::sync::{Arc, Mutex};
