//! Limits on the data that a keeper retains in memory, writes between snapshots and sends in one message.
use quincehatch_wire::MAX_FRAME_BYTES;

/// Number of entries that are retained in memory for lagging members and for the feeds of nodes. Members and nodes that
/// lag further behind receive a snapshot.
pub const LOG_MAX_ENTRIES: usize = 512;
/// Maximum total size of these entries in their packed form, in bytes.
pub const LOG_MAX_BYTES: usize = 4 << 20;
/// Maximum total size of the changes that are retained for the feeds of nodes, in bytes.
pub const FEED_MAX_BYTES: usize = 1 << 20;
/// Number of entries after which a snapshot is written to disk, unless their size requires one earlier.
pub const SNAPSHOT_INTERVAL_ENTRIES: usize = 128;
/// Maximum size of the entries or of the part of a snapshot in one message between keepers, in bytes. At 100 Mbit/s
/// they take 20 ms.
pub const TRANSFER_MAX_BYTES: usize = 256 << 10;

// A message with that many bytes, including its other fields, must be far below the maximum frame length.
const _: () = assert!(TRANSFER_MAX_BYTES < MAX_FRAME_BYTES / 8);
