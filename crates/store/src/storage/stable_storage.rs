//! The interface of a keeper's stable storage.
use crate::disk_usage::DiskUsage;
use crate::record::{Record, RecoveredState};
use crate::store::Store;
use quincehatch_core::Error;

/// Storage whose records survive restarts. [`Disk`](crate::storage::disk::Disk) is the implementation for production;
/// tests use implementations that fail on demand.
pub trait StableStorage: Send + 'static {
    /// Makes all of the records durable, or none of them.
    ///
    /// # Errors
    /// If it is unknown whether the records are durable. The storage is then unusable until [`StableStorage::recover`]
    /// succeeds.
    fn save(&mut self, records: &[Record]) -> Result<(), Error>;

    /// Whether so much was saved since the last snapshot that the next one is due.
    fn is_snapshot_due(&self) -> bool;

    /// Replaces the snapshot by `store`, which must reflect all saved entries, drops the oldest log entries beyond the
    /// limits, and releases free space to the file system.
    ///
    /// # Errors
    /// As with [`StableStorage::save`].
    fn write_snapshot(&mut self, store: &Store) -> Result<(), Error>;

    /// Reopens the storage after an error, makes the records that it contains durable, and returns their state.
    ///
    /// # Errors
    /// If the storage still fails; the caller retries later.
    fn recover(&mut self) -> Result<RecoveredState, Error>;

    /// Returns how much of the allowed size the storage takes.
    fn usage(&self) -> DiskUsage;
}
