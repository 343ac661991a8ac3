//! The lab (§9): stand-ins, fault relay, fleet runner, load, history checker, simulator.
pub mod caller;
mod caller_operations;
pub mod configuration_pushes;
pub mod database;
pub mod fleet;
pub mod history;
pub mod platform;
pub mod relay;
mod replication;
pub mod run_facts;
pub mod running;
pub mod scenario;
mod scenarios;
pub mod script;
pub mod stand_in;
pub mod statement;
