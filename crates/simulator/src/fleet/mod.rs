//! The seeded simulator (§9.1): virtual time, one thread, and the very code that the daemons, the stand-ins and the
//! callers run. A seed replays exactly.
mod arrive;
pub mod core;
mod exec;
pub mod faults;
mod hands;

mod host;
pub mod keeper;
mod last;
pub mod net;
mod power;
pub mod procs;
pub mod run;

pub use run::{Report, SimOptions, run_seed};
