//! What runs the protocols: clock, timers, tasks and connections (tokio's or the simulator's), logging, random numbers.
mod clock;
pub mod logs;
pub mod rng;
pub mod rt;

pub use clock::now;
