//! Replies to nodes' polls at the tail: recent changes, or a snapshot for a node that lacks older ones.
use super::Keeper;
use crate::compression::PackedText;
use crate::feed::{Change, FeedSnapshot, PackedSnapshot};
use crate::messages::Reply;
use quincehatch_core::{ChangeNumber, Millis, Version};

/// The largest number of changes by which a packed snapshot may be older than the store and still be sent.
const SNAPSHOT_MAX_AGE_CHANGES: ChangeNumber = 128;
/// The lease term that is sent with an outdated snapshot: a node that holds a lease must have every committed change.
const NO_LEASE: Millis = 0;

/// A configuration in the packed form in which snapshots contain it.
#[derive(Clone, Debug)]
pub(super) struct PackedConfiguration {
    version: Version,
    json: PackedText,
}

impl Keeper {
    /// Returns the changes that follow `last_change`, or a snapshot if some of them are no longer retained.
    pub(super) fn changes_since(&mut self, last_change: ChangeNumber, lease_ms: Millis) -> Reply {
        if let Some(changes) = self.retained_changes_since(last_change) {
            return Reply::Changes { changes, lease_ms };
        }
        let is_newest = self.snapshot_for_nodes().last_change == self.store.last_change;
        let lease_ms = if is_newest { lease_ms } else { NO_LEASE };
        let snapshot = self.snapshot_for_nodes().clone();
        Reply::PackedSnapshot { snapshot, lease_ms }
    }

    /// Returns the approximate size in bytes of the reply to a node that has applied `last_change`.
    pub(super) fn reply_size(&mut self, last_change: ChangeNumber) -> u64 {
        let is_ahead = last_change > self.store.last_change;
        if let Some(bytes) = self.recent_changes.size_since(last_change).filter(|_| !is_ahead) {
            return bytes;
        }
        self.snapshot_for_nodes().size() as u64
    }

    fn retained_changes_since(&self, last_change: ChangeNumber) -> Option<Vec<Change>> {
        if last_change == self.store.last_change {
            return Some(Vec::new());
        }
        // A node that is ahead has followed a store that was lost, so it needs a snapshot.
        if last_change > self.store.last_change {
            return None;
        }
        self.recent_changes.since(last_change)
    }

    /// Returns a snapshot after which all changes are retained. Many nodes that start at the same time are sent the
    /// same snapshot, although each of them adds a change when it enrolls.
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
            && last_change - snapshot.last_change <= SNAPSHOT_MAX_AGE_CHANGES
            && snapshot.configuration_version == self.store.configuration_version();
        is_recent
            && (snapshot.last_change == last_change
                || self.recent_changes.reaches_back_to(snapshot.last_change))
    }

    /// Returns the configuration in force. It is packed once per version, not once per snapshot.
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
