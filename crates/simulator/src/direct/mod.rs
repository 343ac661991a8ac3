//! Simulated fleets on direct connections: keepers and nodes as they ship, over a group of servers that speak their own
//! protocol and know neither idempotency keys nor fences, with a promoter, clients on sessions, faults drawn from the
//! seed, and a check of every call.
mod call_execution;
mod client;
mod client_connection;
mod connection;
mod delivery;
mod faults;
mod ledger;
mod operator;
mod process_control;
mod promotion;
mod replication;
mod request_execution;
mod run;
mod server;
mod server_group;
mod server_ports;
mod setup;

pub use run::{DirectReport, DirectSimOptions, run_seed};
