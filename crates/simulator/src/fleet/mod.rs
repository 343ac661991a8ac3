//! Simulated fleets: the very code that the daemons, the stand-in servers and the callers run, in virtual time.
mod delivery;
mod executor;
pub mod faults;
mod final_faults;
pub mod keeper;
pub mod network;
mod process_control;
mod process_world;
mod promotion_faults;
pub mod run;
pub mod setup;
pub mod simulation;

pub use run::{Report, SimOptions, run_seed};
