//! The seeded simulator (§9.1): virtual time, one thread, and the very code that the daemons, the stand-ins and the
//! callers run. A seed replays exactly.
mod delivery;
mod executor;
pub mod faults;
mod promotion_faults;
pub mod simulation;

mod final_faults;
pub mod keeper;
pub mod network;
mod process_control;
mod process_world;
pub mod run;
pub mod setup;

pub use run::{Report, SimOptions, run_seed};
