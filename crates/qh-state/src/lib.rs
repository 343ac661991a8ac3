//! The state every process shares: chain, view register, leases, store, feed (§5).
mod chain;
mod discovery;
pub mod disk;
pub mod driver;
pub mod feed;
mod heartbeat;
pub mod keeper;
pub mod lease;
mod membership;
pub mod messages;
pub mod patch;
pub mod register;
mod repair;
mod requests;
mod status;
mod step;
pub mod store;
pub mod terms;

pub use discovery::DiscoverySettings;
pub use feed::{Change, FeedEvent, FeedSnapshot, FeedState};
pub use keeper::Keeper;
pub use messages::*;
pub use store::{Adopted, Store};
