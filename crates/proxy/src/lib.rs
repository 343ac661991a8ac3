//! The data plane: door, filters, sessions, links, judges, verdicts, carrying (§4).
pub mod evidence;
pub mod server_protocol;
pub mod slots;
pub mod state;
pub mod sync;

pub mod attempt;
pub mod commit_notes;
pub mod connection;
pub mod direct;
pub mod freshness;
pub mod in_flight;
pub mod latest;
pub mod listener;
pub mod local_replicas;
pub mod outcome_query;
pub mod overdue_replies;
pub mod pipeline;
pub mod platform_api;
pub mod pool;
pub mod ports;
pub mod probe;
pub mod proxy;
pub mod read;
pub mod registry;
pub mod request;
pub mod server_choice;
pub mod session;
pub mod transaction;
pub mod write;

pub use proxy::Proxy;
