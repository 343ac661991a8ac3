//! The whole store from one keeper to another, in parts, and the questions that ask for what comes next (§5.7).
use crate::keeper::{Keeper, Output, Record};
use crate::messages::{DismissedLease, PeerMessage};
use crate::snapshot::{OutgoingSnapshot, SnapshotPart, SnapshotProgress};
use crate::store::Store;
use quincehatch_core::{Millis, Name, Version};

impl Keeper {
    /// Asks the forerunner for what comes next.
    pub(crate) fn request_missing_entries(&mut self, from: &Name) {
        let progress = self.incoming_snapshot.progress(from);
        let need = PeerMessage::RequestEntries {
            version: self.view.version,
            last_change: self.store.last_change,
            progress,
        };
        self.send(from, need);
    }

    /// The next part of a snapshot; an older one is sent to its end as long as the log follows on it.
    pub(crate) fn snapshot_message(&mut self, join: bool, progress: SnapshotProgress) -> PeerMessage {
        let (log, n) = (&self.log, self.store.last_change);
        let follows = |sent: &OutgoingSnapshot| sent.change() == n || log.reaches_back_to(sent.change());
        let snapshot = match self.outgoing_snapshot.take().filter(follows) {
            Some(sent) => sent,
            None => OutgoingSnapshot::from_store(&self.store),
        };
        let part = self.outgoing_snapshot.insert(snapshot).part_after(progress);
        let left = |until: &Millis| until.saturating_sub(self.now);
        let dismissed_leases = self
            .dismissed_leases
            .iter()
            .map(|(n, until)| DismissedLease { node: n.clone(), remaining_ms: left(until) })
            .collect();
        let (version, unknown_leases) = (self.view.version, left(&self.unknown_leases_until));
        PeerMessage::Snapshot {
            version,
            part,
            joining: join,
            dismissed_leases,
            unknown_leases_ms: unknown_leases,
        }
    }

    pub(crate) fn handle_fetch(&mut self, from: &Name, _ed: Version, progress: SnapshotProgress) {
        if self.is_serving() && !self.view.is_member(from) {
            let m = self.snapshot_message(true, progress);
            self.send(from, m);
        }
    }

    /// Part of the whole store, from the tail (to join) or from my forerunner (its log did not reach back to me). Was
    /// the store taken?
    pub(crate) fn accept_snapshot_part(
        &mut self,
        from: &Name,
        ed: Version,
        part: SnapshotPart,
        join: bool,
    ) -> bool {
        if ed != self.view.version {
            return false;
        }
        let member = self.view.is_member(&self.name);
        let takes = if join { !member } else { member && self.view.predecessor(&self.name) == Some(from) };
        if !takes
            || (!join && part.id.change <= self.store.last_change)
            || !self.incoming_snapshot.accept_part(from, part)
        {
            return false;
        }
        if let Some(store) = self.incoming_snapshot.finish() {
            return self.install_snapshot(store, join);
        }
        match join {
            true => self.request_snapshot_part(from),
            false => self.request_missing_entries(from),
        }
        false
    }

    /// Takes the whole store in place of its own. One that is to join proposes the view in which it has its place;
    /// without a place to go to it takes nothing.
    fn install_snapshot(&mut self, store: Store, join: bool) -> bool {
        let entering = if join { self.take_view_to_enter() } else { None };
        if join && entering.is_none() {
            return false;
        }
        self.store = store;
        self.log.clear();
        self.recent_changes.clear();
        self.committed = 0;
        self.in_force = 0;
        self.outputs.push(Output::Persist(Record::Snapshot { store: Box::new(self.store.clone()) }));
        if let Some(view) = entering {
            self.set_catching_up(true);
            self.propose(view);
            return true;
        }
        self.in_sync = true;
        self.set_catching_up(false);
        self.forward_entries(self.store.last_change);
        true
    }

    /// Asks the tail for the next part of its store.
    pub(crate) fn request_snapshot_part(&mut self, tail: &Name) {
        self.last_fetch_at = self.now;
        let progress = self.incoming_snapshot.progress(tail);
        let m = PeerMessage::FetchSnapshot { version: self.view.version, progress };
        self.send(tail, m);
    }
}
