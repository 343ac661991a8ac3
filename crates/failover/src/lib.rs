//! The control plane (§5.5, §6.3): wanted state, and loops that work out the difference.
pub mod promotion;
pub mod sync;
pub mod watch;
pub mod words;
