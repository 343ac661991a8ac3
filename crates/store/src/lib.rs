//! The replicated store that all processes share: configuration, servers, primaries and fencing tokens.
//!
//! Keepers replicate a log of [`Command`]s along a chain (see [`keeper`]). A [`View`] says which keepers form the chain;
//! its voters decide the next view by consensus (see [`register`]). Nodes hold a copy of the state, kept fresh by the
//! [`feed`] from the tail, and act on it only while they hold a lease (see [`node_leases`]).
pub mod command;
pub mod disk;
mod disk_format;
pub mod disk_port;
mod disk_records;
pub mod documents;
pub mod driver;
pub mod entry_log;
pub mod feed;
pub mod host;
pub mod keeper;
pub mod limits;
pub mod messages;
pub mod node_leases;
pub mod packed;
pub mod patch;
mod peers;
pub mod record;
pub mod register;
pub mod snapshot;
mod stale_reply;
pub mod store;
pub mod timing;
mod transfer;
pub mod view;

pub use command::{Answer, Command, Entry, PrimaryState};
pub use feed::{Change, FeedEvent, FeedSnapshot, FeedState};
pub use keeper::{DiscoverySettings, Input, Keeper, Output};
pub use messages::{
    AcceptedView, DismissedLease, KeeperRequest, KeeperResponse, KeeperStatus, LeaseStatus, LogSize,
    PeerMessage, Reply, Request,
};
pub use record::{Record, RecoveredState};
pub use store::{AdoptedDocument, Store};
pub use view::{Ballot, View, Voter};

// Old paths, until the last users are moved to the new ones.
mod step {
    pub use crate::keeper::{Input, Output};
    pub use crate::record::{Record, RecoveredState};
}
mod terms {
    pub use crate::limits::*;
}
