//! The registry of servers, configuration and primaries, and the choice of a server for a read.
pub mod acknowledged;
pub mod cluster_state;
pub mod commit_evidence;
pub mod commits;
pub mod group_health;
pub mod in_flight;
pub mod node_lease;
pub mod registry;
pub mod server_choice;
pub mod server_entry;
