//! The feed as the tail serves it: recent changes, or a snapshot for a node that lacks more than is remembered.
use super::Keeper;
use crate::compression::PackedText;
use crate::feed::{Change, FeedSnapshot};
use crate::messages::Reply;
use quincehatch_core::{ChangeNumber, Millis, Version};

/// Bytes of a server, a primary or a node in a snapshot, about.
const RECORD_BYTES: usize = 80;

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

    /// The bytes, more or less, of what a node is sent that has applied `last_change`.
    pub(super) fn answer_length(&mut self, last_change: ChangeNumber) -> u64 {
        let is_ahead = last_change > self.store.last_change;
        if let Some(bytes) = self.recent_changes.length_since(last_change).filter(|_| !is_ahead) {
            return bytes;
        }
        let records = self.store.servers.len() + self.store.primaries.len() + self.store.nodes.len();
        (self.packed_configuration_json().size() + records * RECORD_BYTES) as u64
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
