//! The feed as the tail serves it: recent changes, or a snapshot for a node that lacks more than is remembered.
use super::Keeper;
use crate::compression::PackedText;
use crate::feed::{Change, FeedEvent, FeedSnapshot};
use crate::limits::{FEED_MAX_BYTES, LOG_MAX_ENTRIES};
use crate::messages::Reply;
use quincehatch_core::{ChangeNumber, Millis};
use std::collections::VecDeque;

impl Keeper {
    /// Remembers a change for nodes, and forgets the oldest ones beyond the limits.
    pub(super) fn record_change(&mut self, number: ChangeNumber, event: FeedEvent) {
        self.recent_changes.push_back(Change { number, event });
        while exceeds_limits(&self.recent_changes) {
            self.recent_changes.pop_front();
        }
    }

    /// The changes that follow `last_change`, or a snapshot if they are not all remembered.
    pub(super) fn changes_since(&mut self, last_change: ChangeNumber, lease_ms: Millis) -> Reply {
        if self.remembers_all_since(last_change) {
            let following = self.recent_changes.iter().filter(|change| change.number > last_change);
            return Reply::Changes { changes: following.cloned().collect(), lease_ms };
        }
        let configuration_json = self.packed_configuration_json();
        let snapshot = FeedSnapshot::from_store(&self.store, configuration_json);
        Reply::Snapshot { snapshot: Box::new(snapshot), lease_ms }
    }

    fn remembers_all_since(&self, last_change: ChangeNumber) -> bool {
        if last_change == self.store.last_change {
            return true;
        }
        // A node that claims to be ahead followed a store that was lost; it gets a snapshot.
        let oldest = self.recent_changes.front().map(|change| change.number);
        oldest.is_some_and(|oldest| oldest <= last_change + 1) && last_change <= self.store.last_change
    }

    /// The packed configuration in force. It is packed once a version, however many nodes ask for it.
    fn packed_configuration_json(&mut self) -> PackedText {
        let version = self.store.configuration_version();
        if let Some((packed_version, packed)) = &self.packed_configuration
            && *packed_version == version
        {
            return packed.clone();
        }
        let packed = PackedText::pack(self.store.configuration_json());
        self.packed_configuration = Some((version, packed.clone()));
        packed
    }
}

fn exceeds_limits(changes: &VecDeque<Change>) -> bool {
    if changes.len() > LOG_MAX_ENTRIES {
        return true;
    }
    let bytes: usize = changes.iter().map(Change::size).sum();
    changes.len() > 1 && bytes > FEED_MAX_BYTES
}
