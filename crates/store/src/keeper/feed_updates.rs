//! The feed as the tail serves it: recent changes, or a snapshot for a node that lacks more than is remembered.
use super::Keeper;
use crate::compression::PackedText;
use crate::feed::{Change, FeedSnapshot};
use crate::messages::Reply;
use quincehatch_core::{ChangeNumber, Millis, Version};

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
        let configuration_json = self.packed_configuration_json();
        let snapshot = FeedSnapshot::from_store(&self.store, configuration_json);
        Reply::Snapshot { snapshot: Box::new(snapshot), lease_ms }
    }

    /// Whether all changes that follow `last_change` are remembered: otherwise a node is sent a snapshot.
    pub(super) fn remembers_since(&self, last_change: ChangeNumber) -> bool {
        last_change <= self.store.last_change && self.recent_changes.reaches_back_to(last_change)
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
