//! The compressed form of a snapshot that is sent to nodes.
use crate::compression::PackedBytes;
use crate::feed::FeedSnapshot;
use quincehatch_core::{ChangeNumber, Version, messages};

messages! {
    /// A [`FeedSnapshot`] that is serialised and compressed once and sent to many nodes.
    #[derive(Eq)]
    pub struct PackedSnapshot {
        /// Number of the last change that the snapshot reflects.
        pub last_change: ChangeNumber,
        /// Version of the configuration in the snapshot.
        pub configuration_version: Version,
        packed: PackedBytes
    }
}

impl PackedSnapshot {
    /// Packs a snapshot.
    pub fn pack(snapshot: &FeedSnapshot) -> PackedSnapshot {
        PackedSnapshot {
            last_change: snapshot.last_change,
            configuration_version: snapshot.configuration_version,
            packed: PackedBytes::pack(borsh::to_vec(snapshot).unwrap_or_default()),
        }
    }

    /// Returns the snapshot; `None` if the packed form is damaged.
    pub fn unpack(&self) -> Option<FeedSnapshot> {
        borsh::from_slice(&self.packed.unpack()?).ok()
    }

    /// Returns the length of the packed form, in bytes.
    pub fn size(&self) -> usize {
        self.packed.size()
    }
}
