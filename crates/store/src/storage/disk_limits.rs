//! Limits within a data directory that keep its size well below the allowed size.
use crate::limits::LOG_MAX_BYTES;

/// Default of the allowed size of a data directory (64 MiB).
pub const DEFAULT_ALLOWED_BYTES: u64 = 64 << 20;
/// The log takes at most the allowed size divided by this number.
const LOG_DIVISOR: u64 = 16;
/// A snapshot is due after entries of the log's maximum size divided by this number.
const SNAPSHOT_DIVISOR: usize = 4;
/// The file is compacted only if it is longer than the allowed size divided by this number.
const COMPACT_DIVISOR: u64 = 4;

/// Limits that keep the size of the data directory well below the allowed size, in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiskLimits {
    /// Allowed size of the directory.
    pub allowed_bytes: u64,
    /// Maximum size of the log that is retained for lagging members.
    pub log_bytes: usize,
    /// Total size of the entries after which the next snapshot is due.
    pub snapshot_bytes: usize,
    /// Length of the file above which it may be compacted.
    pub compact_above_bytes: u64,
}

impl DiskLimits {
    /// Returns the limits of a directory with the allowed size `allowed_bytes`.
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
