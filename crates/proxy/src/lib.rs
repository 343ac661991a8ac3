//! The data plane: door, filters, sessions, links, judges, verdicts, carrying (§4).
pub mod judge;
pub mod server;
pub mod shard;
pub mod sync;
pub mod verdict;

pub mod alone;
pub mod board;
pub mod carry;
pub mod choose;
pub mod door;
pub mod filters;
pub mod fresh;
pub mod direct;
pub mod link;
pub mod lookup;
pub mod newest;
pub mod node;
pub mod noted;
pub mod order;
pub mod outcome;
pub mod overdue;
pub mod platform;
pub mod pool;
pub mod port;
pub mod probe;
pub mod session;
pub mod txn;
pub mod visit;
pub mod work;

pub use node::Node;
