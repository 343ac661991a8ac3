//! A snapshot as it is sent to nodes.
use crate::compression::PackedBytes;
use crate::feed::FeedSnapshot;
use quincehatch_core::{ChangeNumber, Version, messages};

messages! {
    /// A [`FeedSnapshot`], packed once for many nodes.
    #[derive(Eq)]
    pub struct PackedSnapshot {
        /// Last change that it reflects.
        pub last_change: ChangeNumber,
        /// Version of the configuration in it.
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

    /// The snapshot that was packed; `None` if it is damaged.
    pub fn unpack(&self) -> Option<FeedSnapshot> {
        borsh::from_slice(&self.packed.unpack()?).ok()
    }

    /// Bytes that it takes.
    pub fn size(&self) -> usize {
        self.packed.size()
    }
}
