//! Transfer of the store from one keeper to another: of log entries or, if the sender's log does not reach back far
//! enough, of a snapshot in parts.
use super::{Keeper, Output};
use crate::messages::PeerMessage;
use crate::record::Record;
use crate::snapshot::{OutgoingSnapshot, SnapshotPart, SnapshotProgress};
use crate::store::Store;
use quincehatch_core::{Name, Version};

/// Why a snapshot is transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransferPurpose {
    /// The receiver is to join the chain; the tail is the sender.
    Join,
    /// The receiver is a member that lags behind; its predecessor is the sender.
    CatchUp,
}

impl TransferPurpose {
    /// Returns the purpose from the flag in a message.
    pub fn from_joining(joining: bool) -> Self {
        if joining { TransferPurpose::Join } else { TransferPurpose::CatchUp }
    }
}

impl Keeper {
    /// Requests from the predecessor the entries that follow this keeper's newest one.
    pub(super) fn request_missing_entries(&mut self, predecessor: &Name) {
        let progress = self.incoming_snapshot.progress(predecessor);
        let request = PeerMessage::RequestEntries {
            version: self.view.version,
            last_change: self.store.last_change,
            progress,
        };
        self.send(predecessor, request);
    }

    /// Returns a message with the next part of a snapshot after those that the receiver holds.
    pub(super) fn snapshot_message(
        &mut self,
        purpose: TransferPurpose,
        progress: SnapshotProgress,
    ) -> PeerMessage {
        let part = self.usable_snapshot().part_after(progress);
        PeerMessage::Snapshot {
            version: self.view.version,
            part,
            joining: purpose == TransferPurpose::Join,
            dismissed_leases: self.dismissed_leases.remaining(self.now),
            unknown_leases_ms: self.dismissed_leases.unknown_leases_ms(self.now),
        }
    }

    /// Returns the snapshot that is being sent while the log still contains all entries after it, otherwise a new one.
    /// A transfer continues with the same snapshot although the store has changed, so that it completes under constant
    /// writes.
    fn usable_snapshot(&mut self) -> &OutgoingSnapshot {
        let (log, last_change) = (&self.log, self.store.last_change);
        let is_usable = |outgoing: &OutgoingSnapshot| {
            outgoing.change() == last_change || log.reaches_back_to(outgoing.change())
        };
        let snapshot = match self.outgoing_snapshot.take().filter(is_usable) {
            Some(outgoing) => outgoing,
            None => OutgoingSnapshot::from_store(&self.store),
        };
        self.outgoing_snapshot.insert(snapshot)
    }

    /// Sends the next part of the store to a keeper that is to join the chain. Only a serving tail does so, because all
    /// entries that it holds are committed.
    pub(super) fn handle_fetch_snapshot(&mut self, from: &Name, progress: SnapshotProgress) {
        if self.is_serving() && !self.view.is_member(from) {
            let message = self.snapshot_message(TransferPurpose::Join, progress);
            self.send(from, message);
        }
    }

    /// Handles a part of a snapshot: requests the next part, or installs the store if this was the last one. Returns
    /// whether the store was installed.
    pub(super) fn accept_snapshot_part(
        &mut self,
        from: &Name,
        version: Version,
        part: SnapshotPart,
        purpose: TransferPurpose,
    ) -> bool {
        if version != self.view.version || !self.expects_snapshot(from, &part, purpose) {
            return false;
        }
        if !self.incoming_snapshot.accept_part(from, part) {
            return false;
        }
        if let Some(store) = self.incoming_snapshot.finish() {
            return self.install_snapshot(store, purpose);
        }
        match purpose {
            TransferPurpose::Join => self.request_snapshot_part(from),
            TransferPurpose::CatchUp => self.request_missing_entries(from),
        }
        false
    }

    /// Returns whether this keeper accepts the snapshot. A keeper outside the chain accepts one to join. A member
    /// accepts one from its predecessor only, and only if it is newer than its own store.
    fn expects_snapshot(&self, from: &Name, part: &SnapshotPart, purpose: TransferPurpose) -> bool {
        let is_member = self.view.is_member(&self.name);
        match purpose {
            TransferPurpose::Join => !is_member,
            TransferPurpose::CatchUp => {
                let is_from_predecessor = self.view.predecessor(&self.name) == Some(from);
                is_member && is_from_predecessor && part.id.change > self.store.last_change
            }
        }
    }

    /// Replaces the store. A keeper that joins then proposes the view in which it is a member; without a valid
    /// invitation it retains its own store. Returns whether the store was replaced.
    fn install_snapshot(&mut self, store: Store, purpose: TransferPurpose) -> bool {
        let mut view_to_join = None;
        if purpose == TransferPurpose::Join {
            view_to_join = self.take_view_to_join();
            if view_to_join.is_none() {
                return false;
            }
        }
        self.store = store;
        self.log.clear();
        self.recent_changes.clear();
        self.packed_snapshot = None;
        self.committed = 0;
        self.in_force = 0;
        let record = Record::Snapshot { store: Box::new(self.store.clone()) };
        self.outputs.push(Output::Persist(record));
        if let Some(view) = view_to_join {
            self.set_catching_up(true);
            self.propose(view);
            return true;
        }
        self.in_sync = true;
        self.set_catching_up(false);
        self.forward_entries(self.store.last_change);
        true
    }

    /// Requests the next part of the store from the tail.
    pub(super) fn request_snapshot_part(&mut self, tail: &Name) {
        self.last_fetch_at = self.now;
        let progress = self.incoming_snapshot.progress(tail);
        let request = PeerMessage::FetchSnapshot { version: self.view.version, progress };
        self.send(tail, request);
    }
}
