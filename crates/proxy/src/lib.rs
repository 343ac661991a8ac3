//! The data plane: door, filters, sessions, links, judges, verdicts, carrying (§4).
pub mod evidence;
pub mod server_protocol;
pub mod slots;
pub mod sync;
pub mod state;

pub mod local_replicas;
pub mod registry;
pub mod attempt;
pub mod server_choice;
pub mod listener;
pub mod pipeline;
pub mod freshness;
pub mod direct;
pub mod connection;
pub mod read;
pub mod latest;
pub mod proxy;
pub mod commit_notes;
pub mod write;
pub mod outcome_query;
pub mod overdue_replies;
pub mod platform_api;
pub mod pool;
pub mod ports;
pub mod probe;
pub mod session;
pub mod transaction;
pub mod request;
pub mod in_flight;

pub use proxy::Proxy;
