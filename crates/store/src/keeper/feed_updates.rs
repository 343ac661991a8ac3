//! The feed as the tail serves it: recent changes, or a snapshot for a node that lacks more than is remembered.
use super::Keeper;
use crate::compression::PackedText;
use crate::feed::{Change, FeedSnapshot, PackedSnapshot};
use crate::messages::Reply;
use quincehatch_core::{ChangeNumber, Millis, Version};

/// A packed snapshot serves nodes until there are so many newer changes.
const SNAPSHOT_MAX_AGE: ChangeNumber = 128;
/// No lease comes with a snapshot that lacks changes: a node with a lease acts on all that was committed.
const NO_LEASE: Millis = 0;

/// A configuration, packed for snapshots.
#[derive(Clone, Debug)]
pub(super) struct PackedConfiguration {
    version: Version,
    json: PackedText,
}

impl Keeper {
    /// The changes that follow `last_change`, or a snapshot if they are not all remembered.
    pub(super) fn changes_since(&mut self, last_change: ChangeNumber, lease_ms: Millis) -> Reply {
        if let Some(changes) = self.remembered_since(last_change) {
            return Reply::Changes { changes, lease_ms };
        }
        let is_newest = self.snapshot_for_nodes().last_change == self.store.last_change;
        let lease_ms = if is_newest { lease_ms } else { NO_LEASE };
        let snapshot = self.snapshot_for_nodes().clone();
        Reply::PackedSnapshot { snapshot, lease_ms }
    }

    /// The bytes, more or less, of what a node is sent that has applied `last_change`.
    pub(super) fn answer_length(&mut self, last_change: ChangeNumber) -> u64 {
        let is_ahead = last_change > self.store.last_change;
        if let Some(bytes) = self.recent_changes.length_since(last_change).filter(|_| !is_ahead) {
            return bytes;
        }
        self.snapshot_for_nodes().size() as u64
    }

    fn remembered_since(&self, last_change: ChangeNumber) -> Option<Vec<Change>> {
        if last_change == self.store.last_change {
            return Some(Vec::new());
        }
        // A node that claims to be ahead followed a store that was lost; it starts anew.
        if last_change > self.store.last_change {
            return None;
        }
        self.recent_changes.since(last_change)
    }

    /// A snapshot that a node can follow the changes from. Many nodes that start together are sent the same one, although
    /// each of them enrolls with a change of its own.
    fn snapshot_for_nodes(&mut self) -> &PackedSnapshot {
        let usable = self.packed_snapshot.take().filter(|packed| self.is_usable(packed));
        let snapshot = usable.unwrap_or_else(|| {
            let configuration_json = self.packed_configuration_json();
            PackedSnapshot::pack(&FeedSnapshot::from_store(&self.store, configuration_json))
        });
        self.packed_snapshot.insert(snapshot)
    }

    fn is_usable(&self, snapshot: &PackedSnapshot) -> bool {
        let last_change = self.store.last_change;
        let is_recent = snapshot.last_change <= last_change
            && last_change - snapshot.last_change <= SNAPSHOT_MAX_AGE
            && snapshot.configuration_version == self.store.configuration_version();
        is_recent
            && (snapshot.last_change == last_change
                || self.recent_changes.reaches_back_to(snapshot.last_change))
    }

    /// The packed configuration in force. It is packed once a version, however many nodes ask for it.
    fn packed_configuration_json(&mut self) -> PackedText {
        let version = self.store.configuration_version();
        if let Some(packed) = self.packed_configuration.as_ref().filter(|packed| packed.version == version) {
            return packed.json.clone();
        }
        let json = PackedText::pack(self.store.configuration_json());
        self.packed_configuration = Some(PackedConfiguration { version, json: json.clone() });
        json
    }
}
