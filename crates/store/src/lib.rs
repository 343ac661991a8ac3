//! The replicated store that all processes use: configuration, servers, primaries and fencing tokens.
//!
//! Keepers replicate a log of [`Command`]s along a chain (see [`keeper`]). A [`View`] says which keepers form the
//! chain; its voters decide the next view by consensus (see [`register`]). Nodes hold a copy of the state, which the
//! [`feed`] from the tail keeps up to date, and act on it only while they hold a lease (see [`node_leases`]).
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

pub mod command;
pub mod compression;
pub mod disk_usage;
pub mod dismissed_leases;
pub mod driver;
pub mod entry_log;
pub mod feed;
pub mod host;
pub mod keeper;
pub mod limits;
pub mod messages;
pub mod metrics;
pub mod node_leases;
mod peers;
pub mod record;
pub mod register;
pub mod snapshot;
mod stale_reply;
pub mod storage;
pub mod store;
pub mod timing;
pub mod view;

pub use command::{Answer, Command, Entry, PrimaryState};
pub use feed::{Change, FeedEvent, FeedSnapshot, FeedState, PackedSnapshot};
pub use keeper::{DiscoverySettings, Input, Keeper, Output};
pub use messages::{
    AcceptedView, DismissedLease, KeeperRequest, KeeperResponse, KeeperStatus, LeaseStatus, LogSize,
    PeerMessage, Reply, Request,
};
pub use record::{Record, RecoveredState};
pub use store::{AdoptedDocument, Store};
pub use view::{Ballot, View, Voter};
