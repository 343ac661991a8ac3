//! The messages of the replicated store: between keepers, and between keepers and their clients.
mod client;
mod idempotency;
mod kinds;
mod peer;
mod status;

pub use client::{KeeperRequest, KeeperResponse, Reply, Request};
pub use peer::{AcceptedView, DismissedLease, PeerMessage};
pub use status::{KeeperStatus, LeaseStatus, LogSize, PollCounts};
