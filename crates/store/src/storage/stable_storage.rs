//! What a keeper needs of its disk.
use crate::disk_usage::DiskUsage;
use crate::record::{Record, RecoveredState};
use crate::store::Store;
use quincehatch_core::Error;

/// Storage whose records survive restarts. [`Disk`](crate::storage::disk::Disk) is the one of regular service;
/// tests have others, which fail on demand.
pub trait StableStorage: Send + 'static {
    /// Makes the records durable, all or none.
    ///
    /// # Errors
    /// If it is not known whether the records are durable. The storage is unusable then until
    /// [`StableStorage::recover`] succeeds.
    fn save(&mut self, records: &[Record]) -> Result<(), Error>;

    /// Has so much been saved since the last snapshot that the next one is due?
    fn is_snapshot_due(&self) -> bool;

    /// Replaces the snapshot by `store`, which reflects all that was saved, drops log entries before it as far as the
    /// limits require, and returns free space to the file system.
    ///
    /// # Errors
    /// As with [`StableStorage::save`].
    fn write_snapshot(&mut self, store: &Store) -> Result<(), Error>;

    /// Opens the storage again after an error and makes durable what it finds there.
    ///
    /// # Errors
    /// If the storage still fails; the caller tries again later.
    fn recover(&mut self) -> Result<RecoveredState, Error>;

    /// How much of its allowed size the storage takes.
    fn usage(&self) -> DiskUsage;
}
