//! Replication along the chain: passing entries down, acknowledging up, catching up (§5.2, §5.3).
use crate::entry_log::PackedEntry;
use crate::feed::AppliedEntry;
use crate::keeper::{Keeper, Output, Record};
use crate::messages::{Answer, Command, Entry, PeerMessage, View};
use crate::snapshot::SnapshotProgress;
use crate::snapshot_transfer::TransferPurpose;
use crate::terms::{NODE_LEASE, TRANSFER_MAX_BYTES, VIEW_LEASE, with_clock_drift};
use quincehatch_core::{ChangeNumber, Name, Version};

impl Keeper {
    /// Takes a newer agreed view.
    pub(crate) fn adopt_view(&mut self, v: View) {
        if v.version <= self.view.version {
            return;
        }
        let was_tail = self.is_tail();
        let prev = self.view.neighbour(&self.name, -1).cloned();
        let next = v.version == self.view.version + 1;
        let previous = std::mem::replace(&mut self.view, v);
        self.previous_view = Some(previous).filter(|_| next);
        self.view_adopted_at = self.now;
        (self.number_at_view, self.acknowledged) = (self.store.last_change, 0);
        self.outputs.push(Output::Persist(Record::View { view: self.view.clone() }));
        self.outgoing_snapshot = None;
        self.sent_heartbeats.clear();
        self.heartbeat_grants.clear();
        self.view_lease_until = 0;
        let same_prev = prev.is_some() && prev.as_ref() == self.view.neighbour(&self.name, -1);
        self.in_sync = (self.is_head() && !self.catching_up)
            || (self.in_sync && same_prev && was_tail && self.is_tail());
        if self.is_tail() && !was_tail {
            self.older_leases_until = self.now + with_clock_drift(VIEW_LEASE);
            (self.leases, self.previous_leases) = (None, None);
        } else if !self.is_tail() {
            // Whoever served as the tail of the view just before knows of every lease there is.
            let whole = next && self.served_version + 1 == self.view.version;
            let tells_tail =
                !self.view.is_member(&self.name) || self.view.tail() == self.view.neighbour(&self.name, 1);
            self.previous_leases = self.leases.take().filter(|_| whole && tells_tail);
        }
        if !self.view.is_member(&self.name) {
            self.hand_over_leases();
        }
        if let Some(p) = self.view.neighbour(&self.name, -1).cloned() {
            self.request_missing_entries(&p);
        }
    }

    pub(crate) fn acknowledgement(&self) -> PeerMessage {
        PeerMessage::Acknowledge {
            version: self.view.version,
            committed: self.committed,
            in_force: self.in_force,
        }
    }

    pub(crate) fn append_entry(&mut self, e: &Entry, packed: PackedEntry) -> Option<Answer> {
        let AppliedEntry { answer: a, event: news } = self.store.apply_with_event(e)?;
        if let Command::DismissNode { node, .. } = &e.command
            && !self.store.nodes.contains_key(node)
        {
            let now = self.now;
            self.dismissed_leases.retain(|_, until| *until > now);
            self.dismissed_leases.insert(node.clone(), now + with_clock_drift(NODE_LEASE));
        }
        self.record_change(e.number, news);
        self.outputs.push(Output::Persist(Record::Entry { entry: packed.clone() }));
        self.log.push_back(packed);
        Some(a)
    }

    /// The next entries after `n`, as many as go into a message, if the log still has them.
    pub(crate) fn entries_after(&self, n: ChangeNumber) -> Option<Vec<PackedEntry>> {
        if n >= self.store.last_change {
            return Some(Vec::new());
        }
        self.log.entries_after(n, TRANSFER_MAX_BYTES)
    }

    pub(crate) fn handle_append_entries(
        &mut self,
        from: &Name,
        ed: Version,
        prev: ChangeNumber,
        es: Vec<PackedEntry>,
        end: ChangeNumber,
    ) {
        if ed != self.view.version || self.view.neighbour(&self.name, -1) != Some(from) {
            return;
        }
        if prev > self.store.last_change {
            return self.request_missing_entries(from);
        }
        let had = self.store.last_change;
        for packed in es {
            if let Some(entry) = packed.unpack() {
                self.append_entry(&entry, packed);
            }
        }
        if self.store.last_change >= end {
            self.in_sync = true;
            self.set_catching_up(false);
        } else if self.store.last_change > had {
            self.request_missing_entries(from);
        }
        if self.store.last_change > had {
            self.forward_entries(had);
        }
    }

    /// Hands what came after `had` to the successor.
    pub(crate) fn forward_entries(&mut self, had: ChangeNumber) {
        if let Some(to) = self.view.neighbour(&self.name, 1).cloned()
            && let Some(entries) = self.entries_after(had)
        {
            let m = PeerMessage::AppendEntries {
                version: self.view.version,
                previous_change: had,
                entries,
                last_change: self.store.last_change,
            };
            self.send(&to, m);
        }
    }

    pub(crate) fn handle_request_entries(
        &mut self,
        from: &Name,
        ed: Version,
        n: ChangeNumber,
        progress: SnapshotProgress,
    ) {
        if ed != self.view.version || self.view.neighbour(&self.name, 1) != Some(from) {
            return;
        }
        let m = match self.entries_after(n) {
            Some(entries) => PeerMessage::AppendEntries {
                version: ed,
                previous_change: n,
                entries,
                last_change: self.store.last_change,
            },
            None => self.snapshot_message(TransferPurpose::CatchUp, progress),
        };
        self.send(from, m);
        self.hand_over_leases();
    }

    pub(crate) fn acked(
        &mut self,
        from: &Name,
        ed: Version,
        committed: ChangeNumber,
        in_force: ChangeNumber,
    ) {
        if ed != self.view.version || self.view.neighbour(&self.name, 1) != Some(from) {
            return;
        }
        let moved = committed > self.committed || in_force > self.in_force;
        self.committed = self.committed.max(committed);
        self.in_force = self.in_force.max(in_force);
        self.acknowledged = self.acknowledged.max(committed);
        if moved && let Some(p) = self.view.neighbour(&self.name, -1).cloned() {
            let m = self.acknowledgement();
            self.send(&p, m);
        }
    }

    pub(crate) fn set_catching_up(&mut self, yes: bool) {
        if self.catching_up != yes {
            self.catching_up = yes;
            self.outputs.push(Output::Persist(Record::CatchingUp { catching_up: yes }));
        }
    }
}
