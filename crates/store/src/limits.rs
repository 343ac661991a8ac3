//! Bounds on what a keeper holds in memory, writes between snapshots and sends in one message.
use quincehatch_wire::FRAME_MAX;

/// Entries kept in memory for members that lag behind and for nodes' feeds; who lags further gets a snapshot.
pub const LOG_MAX_ENTRIES: usize = 512;
/// Bytes that these entries may take together, packed as they are kept.
pub const LOG_MAX_BYTES: usize = 4 << 20;
/// Bytes that the changes kept for nodes' feeds may take together.
pub const FEED_MAX_BYTES: usize = 1 << 20;
/// Entries between two snapshots on disk, if their bytes do not call for one earlier.
pub const SNAPSHOT_INTERVAL_ENTRIES: usize = 128;
/// Bytes of entries or of a snapshot in one message between keepers. At 100 Mbit/s they take 20 ms.
pub const TRANSFER_MAX_BYTES: usize = 256 << 10;

// A message with that many bytes, and whatever else it carries, is far below the longest frame.
const _: () = assert!(TRANSFER_MAX_BYTES < FRAME_MAX / 8);
