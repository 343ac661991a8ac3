//! Transfer of a snapshot of the entire store to a member that lacks entries which the log no longer contains. The
//! snapshot is packed once, and sent in parts that are far below the maximum frame length.

mod incoming;
mod outgoing;

pub(crate) use incoming::IncomingSnapshot;
pub(crate) use outgoing::OutgoingSnapshot;

use quincehatch_core::{ChangeNumber, messages};

messages! {
    /// Identifies a packed snapshot.
    #[derive(Copy, Eq, Default)]
    pub struct SnapshotId {
        /// Number of the last entry that the snapshot reflects.
        pub change: ChangeNumber,
        /// Length of the packed form, in bytes.
        pub length: u64,
        /// Hash of the packed form.
        pub hash: u64
    }

    /// How much of a snapshot a receiver has received.
    #[derive(Copy, Eq, Default)]
    pub struct SnapshotProgress {
        /// The snapshot.
        pub id: SnapshotId,
        /// Number of bytes received; the next part starts at this offset.
        pub offset: u64
    }

    /// Consecutive bytes of a packed snapshot.
    #[derive(Eq)]
    pub struct SnapshotPart {
        /// The snapshot.
        pub id: SnapshotId,
        /// Offset of the first byte in the packed snapshot.
        pub offset: u64,
        /// The bytes.
        pub bytes: Vec<u8>
    }
}
