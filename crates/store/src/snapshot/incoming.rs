//! A snapshot that is being received.
use crate::compression::PackedBytes;
use crate::snapshot::{SnapshotId, SnapshotPart, SnapshotProgress};
use crate::store::Store;
use quincehatch_core::{Name, hash64};

/// Maximum length of a packed snapshot that a member accepts (32 MiB). A message that claims more is damaged or
/// hostile.
const MAX_SNAPSHOT_BYTES: u64 = 32 << 20;

/// The parts of a snapshot that were received so far from one member.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncomingSnapshot {
    from: Name,
    id: SnapshotId,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    /// Returns how much of the snapshot from the member `from` was received.
    pub fn progress(&self, from: &Name) -> SnapshotProgress {
        if self.from != *from {
            return SnapshotProgress::default();
        }
        SnapshotProgress { id: self.id, offset: self.bytes.len() as u64 }
    }

    /// Adds a part if it is the next one, and returns whether it was added. A part of another snapshot, or from another
    /// member, discards the parts received before.
    pub fn accept_part(&mut self, from: &Name, part: SnapshotPart) -> bool {
        if part.id.length > MAX_SNAPSHOT_BYTES {
            return false;
        }
        if self.from != *from || self.id != part.id {
            *self = Self { from: from.clone(), id: part.id, bytes: Vec::new() };
        }
        if part.offset != self.bytes.len() as u64 {
            return false;
        }
        self.bytes.extend(part.bytes);
        true
    }

    /// Returns the store if all parts were received. A damaged snapshot is dropped, so that it is requested again from
    /// its first part.
    pub fn finish(&mut self) -> Option<Store> {
        if (self.bytes.len() as u64) < self.id.length {
            return None;
        }
        let complete = std::mem::take(self);
        if hash64(&[&complete.bytes]) != complete.id.hash {
            return None;
        }
        let packed: PackedBytes = borsh::from_slice(&complete.bytes).ok()?;
        borsh::from_slice(&packed.unpack()?).ok()
    }
}
