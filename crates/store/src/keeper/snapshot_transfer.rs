//! How a keeper brings its store up to date from another: it requests log entries, and where the log does not reach back
//! a snapshot in parts.
use super::{Keeper, Output};
use crate::messages::PeerMessage;
use crate::record::Record;
use crate::snapshot::{OutgoingSnapshot, SnapshotPart, SnapshotProgress};
use crate::store::Store;
use quincehatch_core::{Name, Version};

/// Why a snapshot is transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TransferPurpose {
    /// The receiver joins the chain; the tail sends.
    Join,
    /// The receiver is a member that fell behind; its predecessor sends.
    CatchUp,
}

impl TransferPurpose {
    /// The purpose as the wire has it.
    pub fn from_joining(joining: bool) -> Self {
        if joining { TransferPurpose::Join } else { TransferPurpose::CatchUp }
    }
}

impl Keeper {
    /// Requests from the predecessor the entries that follow the last one here.
    pub(super) fn request_missing_entries(&mut self, predecessor: &Name) {
        let progress = self.incoming_snapshot.progress(predecessor);
        let request = PeerMessage::RequestEntries {
            version: self.view.version,
            last_change: self.store.last_change,
            progress,
        };
        self.send(predecessor, request);
    }

    /// The part of a snapshot that follows what the receiver holds.
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

    /// The snapshot that is being sent, as long as the log continues from it, or else a new one. An older snapshot is
    /// sent to its end, so that a store which changes all the time still arrives.
    fn usable_snapshot(&mut self) -> &OutgoingSnapshot {
        let (log, last_change) = (&self.log, self.store.last_change);
        let is_usable =
            |sent: &OutgoingSnapshot| sent.change() == last_change || log.reaches_back_to(sent.change());
        let snapshot = match self.outgoing_snapshot.take().filter(is_usable) {
            Some(sent) => sent,
            None => OutgoingSnapshot::from_store(&self.store),
        };
        self.outgoing_snapshot.insert(snapshot)
    }

    /// Answers a keeper that is to join and fetches the store. Only a serving tail does: what it holds is committed.
    pub(super) fn handle_fetch(&mut self, from: &Name, progress: SnapshotProgress) {
        if self.is_serving() && !self.view.is_member(from) {
            let message = self.snapshot_message(TransferPurpose::Join, progress);
            self.send(from, message);
        }
    }

    /// Takes a part of a snapshot, and requests the next one or installs the store; `true` if it was installed.
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

    /// A keeper outside the view takes a snapshot to join. A member takes one from its predecessor alone, and none that
    /// is older than its own store.
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

    /// Replaces the store. A keeper that joins proposes the view in which it has a place; without an invitation to one
    /// it keeps its own store.
    fn install_snapshot(&mut self, store: Store, purpose: TransferPurpose) -> bool {
        let mut view_to_enter = None;
        if purpose == TransferPurpose::Join {
            view_to_enter = self.take_view_to_enter();
            if view_to_enter.is_none() {
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
        if let Some(view) = view_to_enter {
            self.set_catching_up(true);
            self.propose(view);
            return true;
        }
        self.in_sync = true;
        self.set_catching_up(false);
        self.forward_entries(self.store.last_change);
        true
    }

    /// Requests from the tail the next part of its store.
    pub(super) fn request_snapshot_part(&mut self, tail: &Name) {
        self.last_fetch_at = self.now;
        let progress = self.incoming_snapshot.progress(tail);
        let request = PeerMessage::FetchSnapshot { version: self.view.version, progress };
        self.send(tail, request);
    }
}
