//! Gossip membership: partial views exchanged by shuffling, direct and indirect probes, suspicion with refutation.
//!
//! The protocol does no I/O: [`GossipMembership`] processes the time and received messages, and returns
//! [`GossipAction`]s. The module `state` has the data structures; `records`, `dissemination`, `reconciliation`, `view`
//! and `probing` each implement one part of the protocol; `events` dispatches the inputs to them.
mod dissemination;
mod events;
mod probing;
mod reconciliation;
mod records;
mod state;
mod view;

pub use state::{GossipAction, GossipMembership, LiveMember, VIEW_SIZE};
