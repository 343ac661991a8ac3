//! Client sessions: their replicas on other nodes, and the expiry of idle sessions and transactions on this node.
mod housekeeping;
mod repair;
mod replicas;

pub use housekeeping::{open_transactions, run_housekeeping};
pub use repair::repair_replicas;
pub use replicas::GossipSessionReplicas;
