//! The change feed from the tail of the chain to the nodes. Of each log entry it contains only what nodes act on, and of
//! a new configuration only what differs from the one before.

mod entry_events;
mod event;
mod packed_snapshot;
mod patch;
mod state;

pub use entry_events::AppliedEntry;
pub use event::{Change, FeedEvent};
pub use packed_snapshot::PackedSnapshot;
pub use patch::{Patch, PatchPiece};
pub use state::{FeedSnapshot, FeedState};
