//! A snapshot that is being sent.
use crate::compression::PackedBytes;
use crate::limits::TRANSFER_MAX_BYTES;
use crate::snapshot::{SnapshotId, SnapshotPart, SnapshotProgress};
use crate::store::Store;
use quincehatch_core::{ChangeNumber, hash64};

/// A packed snapshot that is sent in parts.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    id: SnapshotId,
    bytes: Vec<u8>,
}

impl OutgoingSnapshot {
    /// Takes a snapshot of the store.
    pub fn from_store(store: &Store) -> Self {
        let plain = borsh::to_vec(store).unwrap_or_default();
        let bytes = borsh::to_vec(&PackedBytes::pack(plain)).unwrap_or_default();
        let id =
            SnapshotId { change: store.last_change, length: bytes.len() as u64, hash: hash64(&[&bytes]) };
        Self { id, bytes }
    }

    /// Returns the number of the last entry that the snapshot reflects.
    pub fn change(&self) -> ChangeNumber {
        self.id.change
    }

    /// Returns the part that follows the bytes that the receiver has; the first part if the receiver has nothing of
    /// this snapshot.
    pub fn part_after(&self, progress: SnapshotProgress) -> SnapshotPart {
        let is_continued = progress.id == self.id && progress.offset < self.id.length;
        let offset = if is_continued { progress.offset } else { 0 };
        let rest = &self.bytes[offset as usize..];
        let bytes = rest[..rest.len().min(TRANSFER_MAX_BYTES)].to_vec();
        SnapshotPart { id: self.id, offset, bytes }
    }
}
