//! Snapshots of the entire store on their way to a member that lacks more than the log contains: packed once, and sent in
//! parts that are far below the longest frame.

mod incoming;
mod outgoing;

pub(crate) use incoming::IncomingSnapshot;
pub(crate) use outgoing::OutgoingSnapshot;

use quincehatch_core::{ChangeNumber, messages};

messages! {
    /// Which snapshot it is.
    #[derive(Copy, Eq, Default)]
    pub struct SnapshotId {
        /// Last change that the store reflects.
        pub change: ChangeNumber,
        /// Length of the packed form, in bytes.
        pub length: u64,
        /// Hash of the packed form.
        pub hash: u64
    }

    /// How much of a snapshot a receiver holds.
    #[derive(Copy, Eq, Default)]
    pub struct SnapshotProgress {
        /// The snapshot.
        pub id: SnapshotId,
        /// The receiver holds the bytes before this offset.
        pub offset: u64
    }

    /// Some bytes of a snapshot.
    #[derive(Eq)]
    pub struct SnapshotPart {
        /// The snapshot.
        pub id: SnapshotId,
        /// Offset of the first byte.
        pub offset: u64,
        /// The bytes.
        pub bytes: Vec<u8>
    }
}
