//! The messages of the replicated store: between keepers, and between keepers and their clients.
mod client;
mod idempotency;
mod peer;
mod status;

pub use client::{KeeperRequest, KeeperResponse, Reply, Request};
pub use peer::{AcceptedView, DismissedLease, PeerMessage};
pub use status::{KeeperStatus, LeaseStatus, LogSize};

// Old paths, until the last users are moved to the new ones.
pub(crate) use crate::command::{Answer, Command, Entry, PrimaryState};
pub(crate) use crate::view::View;
