//! A seeded simulation of the control plane alone (§9.8). The keepers and their clients are the real code; machines,
//! disks, network, operators, readers and nodes are simulated. A seed replays exactly.
//!
//! The core is the set of machines that run a keeper. Operators submit numbered documents to the control API of these
//! machines, readers read the document in force, and nodes follow the chain's feed.
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
