//! The change feed from the tail of the chain to the nodes. For each log entry the feed contains only the changes that
//! nodes act on, and for a new configuration only the difference from the previous one.

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
