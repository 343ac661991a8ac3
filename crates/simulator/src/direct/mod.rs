//! Simulated fleets on direct connections: keepers and nodes as they ship, over a group of servers that speak their own
//! protocol and know neither idempotency keys nor fences, with a promoter, clients on sessions, faults drawn from the
//! seed, and a check of every call.
mod attempt;
mod call_execution;
mod client;
mod client_connection;
mod connection;
mod delivery;
mod fault_injection;
mod faults;
mod ledger;
mod operator;
mod process_control;
mod promotion;
mod replication;
mod replies;
mod request_execution;
mod run;
mod sent_statement;
mod server;
mod server_group;
mod server_ports;
mod session_task;
mod setup;
mod version_check;

pub use run::{DirectReport, DirectSimOptions, run_seed};
