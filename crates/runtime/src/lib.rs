//! What runs the protocols: clock, timers, tasks and connections (tokio's or the simulator's), logging, random numbers.
mod clock;
pub mod logging;
pub mod rng;
pub mod seam;

pub use clock::now;
