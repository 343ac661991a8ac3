//! How nodes know each other: gossip membership, ownership of keys among live nodes, and replicas of sessions.
//!
//! All of it is without I/O: time and received messages go in, messages to send come out.
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
mod retry_safety;
pub mod session_replicas;

pub use membership::{GossipAction, GossipMembership, LiveMember};
pub use messages::*;
pub use owner_table::OwnerTable;
