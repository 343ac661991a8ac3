//! What a node knows of servers, configuration and primaries, and which server a read goes to.
pub mod acknowledged;
pub mod cluster_state;
pub mod group_health;
pub mod in_flight;
pub mod node_lease;
pub mod registry;
pub mod server_choice;
pub mod server_entry;
