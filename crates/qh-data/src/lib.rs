//! The data plane: door, filters, sessions, links, judges, verdicts, carrying (§4).
pub mod judge;
pub mod server;
pub mod shard;
pub mod sync;
pub mod verdict;

#[cfg(not(loom))]
pub mod board;
#[cfg(not(loom))]
pub mod carry;
#[cfg(not(loom))]
pub mod door;
#[cfg(not(loom))]
pub mod filters;
#[cfg(not(loom))]
pub mod fresh;
#[cfg(not(loom))]
pub mod link;
#[cfg(not(loom))]
pub mod lookup;
#[cfg(not(loom))]
pub mod node;
#[cfg(not(loom))]
pub mod order;
#[cfg(not(loom))]
pub mod pool;
#[cfg(not(loom))]
pub mod probe;
#[cfg(not(loom))]
pub mod session;
#[cfg(not(loom))]
pub mod txn;
#[cfg(not(loom))]
pub mod visit;

#[cfg(not(loom))]
pub use node::Node;
