//! The runtime of the protocols: clock, timers, tasks and connections (those of tokio or of a simulator), logging and
//! random numbers.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

pub mod logging;
pub mod rng;
pub mod seam;
pub mod signals;

pub use seam::now;
