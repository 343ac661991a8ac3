//! The locks of structures that are model-checked: loom's under `--cfg qh_loom`, so that every interleaving of a few
//! threads is tested, and the standard library's otherwise.
#[cfg(qh_loom)]
pub use loom::sync::{Arc, Mutex, RwLock};
#[cfg(not(qh_loom))]
pub use std::sync::{Arc, Mutex, RwLock};
