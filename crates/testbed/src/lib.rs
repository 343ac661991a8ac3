//! The test bench: stand-in servers, a fault relay, a fleet runner, callers, fault scripts, and the history checker.
#![warn(missing_docs, clippy::too_many_lines, clippy::too_many_arguments)]
#![warn(clippy::many_single_char_names, clippy::min_ident_chars)]
pub mod caller;
mod caller_operations;
mod caller_records;
pub mod configuration_pushes;
pub mod database;
mod first_configuration;
pub mod fleet;
pub mod fleet_calls;
pub mod history;
pub mod load_environment;
pub mod log_record;
pub mod platform;
pub mod relay;
mod replication;
pub mod reply;
pub mod run_facts;
pub mod running;
pub mod scenario;
mod scenario_report;
mod scenario_steps;
mod scenarios;
pub mod script;
pub mod shape;
pub mod soak;
pub mod stand_in;
pub mod statement;
