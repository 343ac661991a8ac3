//! Membership of the chain and of the voters: discovery of other keepers, replacement of lost voters, and graceful
//! shutdown.
mod discovery;
mod invitation;
mod known_keepers;
mod leave;

pub(super) use known_keepers::Discovery;
pub use known_keepers::DiscoverySettings;
pub(super) use leave::Leaving;
