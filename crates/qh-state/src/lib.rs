//! The state every process shares: chain, view register, leases, store, feed (§5).
mod ack_level;
mod calls;
mod chain;
mod contact;
mod discovery;
pub mod disk;
pub mod documents;
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
mod step;
pub mod store;
pub mod terms;

pub use discovery::DiscoverySettings;
pub use feed::{Change, FeedEvent, FeedSnapshot, FeedState};
pub use keeper::Keeper;
pub use messages::*;
pub use store::{Adopted, Store};
