//! Simulated held fleets (§3.6, §4.10, §5.5, §9.1): keepers and nodes whole, over a group of servers that are met over
//! held links and know neither tries nor fences, a promoter, origins on sessions, faults by the seed, and a checker by
//! call and journal.
mod call_execution;
mod client;
mod client_connection;
mod delivery;
mod faults;
mod ledger;
mod operator;
mod process_control;
mod promotion;
mod replication;
mod request_execution;
mod run;
mod server_group;
mod server_ports;
mod setup;

pub use run::{DirectReport, DirectSimOptions, run_seed};
