//! Simulated fleets over pooled servers: the code of the daemons, the stand-in servers and the callers in virtual time.
mod delivery;
mod executor;
mod fault_injection;
pub mod faults;
mod final_faults;
pub mod keeper;
mod keeper_disk;
pub mod keeper_group;
mod keeper_registry;
mod load;
pub mod network;
mod process_control;
mod process_world;
mod promotion_faults;
pub mod run;
mod servers;
pub mod setup;
pub mod simulation;
mod trap;

pub use run::{Report, SimOptions, run_seed};
