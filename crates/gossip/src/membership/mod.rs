//! Gossip membership: partial views exchanged by shuffling, direct and indirect probes, suspicion with refutation.
//!
//! Without I/O: [`GossipMembership`] takes the time and received messages, and returns [`GossipAction`]s.
//! `state` is at the bottom; `records`, `dissemination`, `reconciliation`, `view` and `probing` each hold one part of the
//! protocol; `events` ties them together.
mod dissemination;
mod events;
mod probing;
mod reconciliation;
mod records;
mod state;
mod view;

pub use state::{GossipAction, GossipMembership, LiveMember, VIEW_SIZE};
