//! Gossip membership of the nodes, ownership of keys among the live nodes, and replicas of sessions.
//!
//! This crate does no I/O. The caller passes in the time and received messages, and sends the messages that are
//! returned.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]
mod compact_name;
mod kinds;
pub mod membership;
pub mod messages;
mod owner_table;
pub mod ownership;
pub mod queries;
mod retry_safety;
pub mod session_replicas;

pub use membership::{GossipAction, GossipMembership, LiveMember};
pub use messages::*;
pub use owner_table::OwnerTable;
pub use queries::*;
