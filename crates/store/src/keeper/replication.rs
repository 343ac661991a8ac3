//! Replication along the chain: entries go from the head to the tail, acknowledgements from the tail to the head.
use super::snapshot_transfer::TransferPurpose;
use super::{Keeper, Output};
use crate::command::{Answer, Command, Entry};
use crate::entry_log::PackedEntry;
use crate::feed::{AppliedEntry, Change};
use crate::limits::TRANSFER_MAX_BYTES;
use crate::messages::PeerMessage;
use crate::record::Record;
use crate::snapshot::SnapshotProgress;
use quincehatch_core::{ChangeNumber, Name};

impl Keeper {
    /// Handles a replication message from the predecessor or the successor. A message from another view or from any
    /// other keeper is ignored: only within one view does every member hold a prefix of its predecessor's log.
    pub(super) fn handle_replication(&mut self, from: &Name, message: PeerMessage) {
        match message {
            PeerMessage::AppendEntries { version, previous_change, entries, last_change } => {
                if version == self.view.version && self.predecessor() == Some(from) {
                    self.append_entries(from, previous_change, entries, last_change);
                }
            }
            PeerMessage::RequestEntries { version, last_change, progress } => {
                if version == self.view.version && self.successor() == Some(from) {
                    self.send_missing_entries(from, last_change, progress);
                }
            }
            PeerMessage::Acknowledge { version, committed, in_force } => {
                if version == self.view.version && self.successor() == Some(from) {
                    self.record_acknowledgement(committed, in_force);
                }
            }
            _ => {}
        }
    }

    /// Applies an entry and returns the answer to its command; `None` if the entry is not the next one.
    pub(super) fn append_entry(&mut self, entry: &Entry, packed: PackedEntry) -> Option<Answer> {
        let AppliedEntry { answer, event } = self.store.apply_with_event(entry)?;
        self.record_dismissal(&entry.command);
        self.recent_changes.push(Change { number: entry.number, event });
        self.outputs.push(Output::Persist(Record::Entry { entry: packed.clone() }));
        self.log.push_back(packed);
        Some(answer)
    }

    /// Records that a dismissed node may hold a lease until the lease term has passed.
    fn record_dismissal(&mut self, command: &Command) {
        let Command::DismissNode { node, .. } = command else { return };
        if self.store.nodes.contains_key(node) {
            return;
        }
        self.dismissed_leases.record(node, self.now);
    }

    /// Sends the entries after `previous_change` to the successor.
    pub(super) fn forward_entries(&mut self, previous_change: ChangeNumber) {
        let Some(successor) = self.successor().cloned() else { return };
        if let Some(entries) = self.entries_after(previous_change) {
            let message = self.append_message(previous_change, entries);
            self.send(&successor, message);
        }
    }

    /// Requests missing entries from the predecessor, and acknowledges the committed ones. Both messages are sent with
    /// each heartbeat, as either may be lost or arrive during a change of the view.
    pub(super) fn report_to_predecessor(&mut self) {
        if let Some(predecessor) = self.predecessor().cloned() {
            self.request_missing_entries(&predecessor);
        }
        self.acknowledge();
    }

    /// Sends the predecessor the numbers of the newest entries that are committed and in force.
    pub(super) fn acknowledge(&mut self) {
        let Some(predecessor) = self.predecessor().cloned() else { return };
        let (committed, in_force) = (self.committed, self.in_force);
        let message = PeerMessage::Acknowledge { version: self.view.version, committed, in_force };
        self.send(&predecessor, message);
    }

    /// Records durably whether this keeper may lack committed entries.
    pub(super) fn set_catching_up(&mut self, catching_up: bool) {
        if self.catching_up != catching_up {
            self.catching_up = catching_up;
            self.outputs.push(Output::Persist(Record::CatchingUp { catching_up }));
        }
    }

    fn append_entries(
        &mut self,
        predecessor: &Name,
        previous_change: ChangeNumber,
        entries: Vec<PackedEntry>,
        last_change: ChangeNumber,
    ) {
        let last_change_before = self.store.last_change;
        if previous_change > last_change_before {
            return self.request_missing_entries(predecessor);
        }
        for packed in entries {
            if let Some(entry) = packed.unpack() {
                self.append_entry(&entry, packed);
            }
        }
        let has_grown = self.store.last_change > last_change_before;
        if self.store.last_change >= last_change {
            self.in_sync = true;
            self.set_catching_up(false);
        } else if has_grown {
            self.request_missing_entries(predecessor);
        }
        if has_grown {
            self.forward_entries(last_change_before);
        }
    }

    fn send_missing_entries(
        &mut self,
        successor: &Name,
        last_change: ChangeNumber,
        progress: SnapshotProgress,
    ) {
        let message = match self.entries_after(last_change) {
            Some(entries) => self.append_message(last_change, entries),
            None => self.snapshot_message(TransferPurpose::CatchUp, progress),
        };
        self.send(successor, message);
        self.hand_over_leases();
    }

    fn record_acknowledgement(&mut self, committed: ChangeNumber, in_force: ChangeNumber) {
        let has_advanced = committed > self.committed || in_force > self.in_force;
        self.committed = self.committed.max(committed);
        self.in_force = self.in_force.max(in_force);
        self.acknowledged = self.acknowledged.max(committed);
        if has_advanced {
            self.acknowledge();
        }
    }

    /// Returns as many entries after `previous_change` as fit into one message; `None` if the log no longer contains
    /// the first of them.
    fn entries_after(&self, previous_change: ChangeNumber) -> Option<Vec<PackedEntry>> {
        if previous_change >= self.store.last_change {
            return Some(Vec::new());
        }
        self.log.entries_after(previous_change, TRANSFER_MAX_BYTES)
    }

    fn append_message(&self, previous_change: ChangeNumber, entries: Vec<PackedEntry>) -> PeerMessage {
        let (version, last_change) = (self.view.version, self.store.last_change);
        PeerMessage::AppendEntries { version, previous_change, entries, last_change }
    }
}
