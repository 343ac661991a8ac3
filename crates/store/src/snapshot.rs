//! The whole store on its way to a member whose log does not reach back: packed once, sent in parts (§5.7).
use crate::packed::PackedBytes;
use crate::store::Store;
use crate::terms::TRANSFER_MAX_BYTES;
use quincehatch_core::{ChangeNumber, Name, hash64, messages};

/// Longest packed snapshot that a member takes.
const SNAPSHOT_MAX: u64 = 32 << 20;

messages! {
    /// Which snapshot it is: the store at change `n`, and the length and hash of its packed form.
    #[derive(Copy, Eq, Default)]
    pub struct SnapshotId { pub change: ChangeNumber, pub length: u64, pub hash: u64 }

    /// What a receiver holds of a snapshot: its first `offset` bytes.
    #[derive(Copy, Eq, Default)]
    pub struct SnapshotProgress { pub id: SnapshotId, pub offset: u64 }

    /// Some bytes of a snapshot, from `offset` on.
    #[derive(Eq)]
    pub struct SnapshotPart { pub id: SnapshotId, pub offset: u64, pub bytes: Vec<u8> }
}

/// A snapshot that is being sent.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    id: SnapshotId,
    bytes: Vec<u8>,
}

impl OutgoingSnapshot {
    pub fn from_store(store: &Store) -> Self {
        let plain = borsh::to_vec(store).unwrap_or_default();
        let bytes = borsh::to_vec(&PackedBytes::pack(plain)).unwrap_or_default();
        let id =
            SnapshotId { change: store.last_change, length: bytes.len() as u64, hash: hash64(&[&bytes]) };
        Self { id, bytes }
    }

    /// The change number of the store it holds.
    pub fn change(&self) -> ChangeNumber {
        self.id.change
    }

    /// The part that follows what the receiver has; the first one if that is of another snapshot.
    pub fn part_after(&self, progress: SnapshotProgress) -> SnapshotPart {
        let known = progress.id == self.id && progress.offset < self.id.length;
        let offset = if known { progress.offset } else { 0 };
        let rest = &self.bytes[offset as usize..];
        let bytes = rest[..rest.len().min(TRANSFER_MAX_BYTES)].to_vec();
        SnapshotPart { id: self.id, offset, bytes }
    }
}

/// A snapshot that is being received from one member.
#[derive(Clone, Debug, Default)]
pub(crate) struct IncomingSnapshot {
    from: Name,
    id: SnapshotId,
    bytes: Vec<u8>,
}

impl IncomingSnapshot {
    /// What is held of the snapshot that `from` sends.
    pub fn progress(&self, from: &Name) -> SnapshotProgress {
        if self.from != *from {
            return SnapshotProgress::default();
        }
        SnapshotProgress { id: self.id, offset: self.bytes.len() as u64 }
    }

    /// Takes a part if it is the next one. Was it taken?
    pub fn accept_part(&mut self, from: &Name, part: SnapshotPart) -> bool {
        if part.id.length > SNAPSHOT_MAX {
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

    /// The store, once all of it is here; a damaged one is dropped, and begun anew.
    pub fn finish(&mut self) -> Option<Store> {
        if (self.bytes.len() as u64) < self.id.length {
            return None;
        }
        let whole = std::mem::take(self);
        if hash64(&[&whole.bytes]) != whole.id.hash {
            return None;
        }
        let packed: PackedBytes = borsh::from_slice(&whole.bytes).ok()?;
        borsh::from_slice(&packed.unpack()?).ok()
    }
}
