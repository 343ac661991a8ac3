//! A seeded simulation of the control plane alone: real keepers, real chain clients, simulated machines, disks, network,
//! operators and nodes (§9.8). A seed replays exactly.
mod budget;
mod call_kind;
pub mod checks;
mod cluster;
mod configuration_api;
mod disk;
mod fault_effects;
mod faults;
pub mod history;
mod inject;
mod invariants;
mod keeper_requests;
mod leave;
mod machine;
mod node;
mod operator;
pub mod overlaps;
mod parameters;
mod recovery;
mod run;

pub use parameters::{Allowed, Parameters, Shape};
pub use run::{ControlReport, ControlSimOptions, run_seed};
