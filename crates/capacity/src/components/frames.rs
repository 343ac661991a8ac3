//! Sizes of the frames in which keepers send the store, snapshots and changes.
use super::store::{adopt, populated_store};
use quincehatch_store::compression::PackedText;
use quincehatch_store::{FeedSnapshot, KeeperResponse, PackedSnapshot, Reply, Store};
use quincehatch_wire::{ANSWER_HEADER_BYTES, LENGTH_BYTES};

/// The lease in the replies, whose size does not depend on its value.
const LEASE_MS: u64 = 4_000;
/// Number of configurations that were adopted before the measured one.
pub(super) const ADOPTED: u64 = 2;
/// The number of the measured configuration.
pub(super) const NEXT_ADOPTED: u64 = 9;

/// Sizes of whole frames in bytes, including the length prefix.
#[derive(Clone, Copy, Debug)]
pub struct FrameSizes {
    /// The whole store, as keepers send it to each other.
    pub store: usize,
    /// The snapshot that is sent to a starting node.
    pub snapshot: usize,
    /// One adopted configuration in which a route changed, as the tail sends it to a node.
    pub change: usize,
}

/// Returns the sizes of the frames of a cluster with `groups` databases.
pub fn frame_sizes(groups: usize) -> FrameSizes {
    let mut store = populated_store(groups, ADOPTED);
    let snapshot = PackedSnapshot::pack(&feed_snapshot(&store));
    let store_frame = frame_bytes(Reply::Store { store: Box::new(store.clone()) });
    let changes = vec![adopt(&mut store, groups, NEXT_ADOPTED)];
    FrameSizes {
        store: store_frame,
        snapshot: frame_bytes(Reply::PackedSnapshot { snapshot, lease_ms: LEASE_MS }),
        change: frame_bytes(Reply::Changes { changes, lease_ms: LEASE_MS }),
    }
}

pub(super) fn feed_snapshot(store: &Store) -> FeedSnapshot {
    let text = store.configuration().map_or("", |entry| &entry.text);
    FeedSnapshot::from_store(store, PackedText::pack(text))
}

fn frame_bytes(reply: Reply) -> usize {
    let body = borsh::to_vec(&KeeperResponse::Reply { reply });
    body.map_or(0, |body| body.len() + LENGTH_BYTES + ANSWER_HEADER_BYTES)
}
