//! What a keeper needs of its disk, and how much of it it may take (§5.7).
use crate::step::{Record, RecoveredState};
use crate::store::Store;
use crate::terms::LOG_MAX_BYTES;
use quincehatch_core::{Error, messages};

/// Allowed size of a data folder where the settings name none.
pub const DEFAULT_ALLOWED_BYTES: u64 = 64 << 20;

/// A place where records are kept through restarts. `Disk` is the real one.
pub trait StableStorage: Send + 'static {
    /// Makes the records durable, all or none. After an error nothing is known of them until [`DiskPort::recover`].
    fn save(&mut self, records: &[Record]) -> Result<(), Error>;
    /// Has so much been saved since the last snapshot that the next is due?
    fn is_snapshot_due(&self) -> bool;
    /// Writes the store, which holds all that was saved, cuts the log before it and hands space back.
    fn write_snapshot(&mut self, store: &Store) -> Result<(), Error>;
    /// Opens the place anew after an error, makes durable what it finds there, and returns it.
    fn recover(&mut self) -> Result<RecoveredState, Error>;
    fn usage(&self) -> DiskUsage;
}

messages! {
    /// Bytes that the data folder takes and may take.
    #[derive(Copy, Eq, Default)]
    pub struct DiskUsage { pub used: u64, pub allowed: u64 }
}

impl DiskUsage {
    /// The last quarter of the allowed size is kept for votes, views and leases: documents are declined by then.
    pub fn is_reserve_touched(self) -> bool {
        self.allowed > 0 && self.used > self.allowed / 4 * 3
    }
}

/// Sizes that keep the data folder well under its allowed size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiskLimits {
    pub allowed_bytes: u64,
    /// Entries kept for members that lag behind.
    pub log_bytes: usize,
    /// Entries written since the last snapshot before the next one is due.
    pub snapshot_bytes: usize,
    /// A longer file is compacted.
    pub compact_above_bytes: u64,
}

impl DiskLimits {
    pub fn for_allowed_bytes(allowed: u64) -> Self {
        let log_bytes = LOG_MAX_BYTES.min(allowed as usize / 16);
        Self {
            allowed_bytes: allowed,
            log_bytes,
            snapshot_bytes: log_bytes / 4,
            compact_above_bytes: allowed / 4,
        }
    }
}

impl Default for DiskLimits {
    fn default() -> Self {
        Self::for_allowed_bytes(DEFAULT_ALLOWED_BYTES)
    }
}
