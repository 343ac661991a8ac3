//! Simulated fleets on direct connections. Keepers and nodes run their production code over a group of simulated
//! servers, which speak their own protocol and know neither idempotency keys nor fencing tokens. A promoter, clients
//! with sessions and faults drawn from the seed complete the world, and every call is checked.
mod attempt;
mod call_execution;
mod client;
mod client_connection;
mod connection;
mod delivery;
mod departures;
mod fault_injection;
mod faults;
mod late_joins;
mod ledger;
mod operator;
mod process_control;
mod promotion;
mod replication;
mod replies;
mod request_execution;
mod run;
mod schedule;
mod sent_statement;
mod server;
mod server_group;
mod server_ports;
mod session_task;
mod setup;
mod slow_promoter;
mod version_check;

pub use run::{DirectReport, DirectSimOptions, run_seed};
