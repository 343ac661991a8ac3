//! Sizes that keep a data directory well under its allowed size.
use crate::limits::LOG_MAX_BYTES;

/// Allowed size of a data directory where the settings name none: 64 MiB.
pub const DEFAULT_ALLOWED_BYTES: u64 = 64 << 20;
/// The log takes at most this part of the allowed size.
const LOG_DIVISOR: u64 = 16;
/// A snapshot is due after entries of this part of the log's size.
const SNAPSHOT_DIVISOR: usize = 4;
/// A file is compacted when it takes this part of the allowed size.
const COMPACT_DIVISOR: u64 = 4;

/// Sizes that keep the data directory well under its allowed size, in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiskLimits {
    /// Size that the directory may take.
    pub allowed_bytes: u64,
    /// Size of the log that is retained for members that lag behind.
    pub log_bytes: usize,
    /// Size of the entries after which the next snapshot is due.
    pub snapshot_bytes: usize,
    /// A longer file is compacted.
    pub compact_above_bytes: u64,
}

impl DiskLimits {
    /// The limits of a directory that may take `allowed_bytes`.
    pub fn for_allowed_bytes(allowed_bytes: u64) -> Self {
        let log_bytes = LOG_MAX_BYTES.min((allowed_bytes / LOG_DIVISOR) as usize);
        Self {
            allowed_bytes,
            log_bytes,
            snapshot_bytes: log_bytes / SNAPSHOT_DIVISOR,
            compact_above_bytes: allowed_bytes / COMPACT_DIVISOR,
        }
    }
}

impl Default for DiskLimits {
    fn default() -> Self {
        Self::for_allowed_bytes(DEFAULT_ALLOWED_BYTES)
    }
}
