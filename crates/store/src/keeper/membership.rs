//! Who votes and who is in the chain: discovery of other keepers, replacement of lost voters, orderly leaves.
mod discovery;
mod invitation;
mod known_keepers;
mod leave;

pub(super) use known_keepers::Discovery;
pub use known_keepers::DiscoverySettings;
pub(super) use leave::Leaving;
