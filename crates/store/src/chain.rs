//! Replication along the chain: passing entries down, acknowledging up, catching up (§5.2, §5.3).
use crate::entry_log::PackedEntry;
use crate::keeper::{Keeper, Output, Record};
use crate::messages::{Answer, Command, Entry, PeerMessage, View};
use crate::snapshot::SnapshotProgress;
use crate::terms::{NODE_LEASE, TRANSFER_BYTES, VIEW_LEASE, outlast};
use quincehatch_core::{ChangeNo, Name, Version};

impl Keeper {
    /// Takes a newer agreed view.
    pub(crate) fn adopt(&mut self, v: View) {
        if v.version <= self.view.version {
            return;
        }
        let was_tail = self.is_tail();
        let prev = self.view.neighbour(&self.me, -1).cloned();
        let next = v.version == self.view.version + 1;
        let previous = std::mem::replace(&mut self.view, v);
        self.previous_view = Some(previous).filter(|_| next);
        self.view_since = self.now;
        (self.held_at_view, self.acked) = (self.store.n, 0);
        self.out.push(Output::Persist(Record::View { view: self.view.clone() }));
        self.outgoing_snapshot = None;
        self.sent.clear();
        self.grants.clear();
        self.lease_until = 0;
        let same_prev = prev.is_some() && prev.as_ref() == self.view.neighbour(&self.me, -1);
        self.joined =
            (self.is_head() && !self.catching_up) || (self.joined && same_prev && was_tail && self.is_tail());
        if self.is_tail() && !was_tail {
            self.wait_until = self.now + outlast(VIEW_LEASE);
            (self.leases, self.granted) = (None, None);
        } else if !self.is_tail() {
            // Whoever served as the tail of the view just before knows of every lease there is.
            let whole = next && self.served + 1 == self.view.version;
            let tells_tail = !self.view.has(&self.me) || self.view.tail() == self.view.neighbour(&self.me, 1);
            self.granted = self.leases.take().filter(|_| whole && tells_tail);
        }
        if !self.view.has(&self.me) {
            self.hand_over_leases();
        }
        if let Some(p) = self.view.neighbour(&self.me, -1).cloned() {
            self.request_next(&p);
        }
    }

    pub(crate) fn ack(&self) -> PeerMessage {
        PeerMessage::Ack { version: self.view.version, committed: self.committed, in_force: self.in_force }
    }

    pub(crate) fn append(&mut self, e: &Entry, packed: PackedEntry) -> Option<Answer> {
        let (a, news) = self.store.apply_told(e)?;
        if let Command::Dismiss { node, .. } = &e.cmd
            && !self.store.nodes.contains_key(node)
        {
            let now = self.now;
            self.dismissed_leases.retain(|_, until| *until > now);
            self.dismissed_leases.insert(node.clone(), now + outlast(NODE_LEASE));
        }
        self.record_change(e.n, news);
        self.out.push(Output::Persist(Record::Entry { entry: packed.clone() }));
        self.log.push_back(packed);
        Some(a)
    }

    /// The next entries after `n`, as many as go into a message, if the log still has them.
    pub(crate) fn after(&self, n: ChangeNo) -> Option<Vec<PackedEntry>> {
        if n >= self.store.n {
            return Some(Vec::new());
        }
        self.log.after(n, TRANSFER_BYTES)
    }

    pub(crate) fn pass(
        &mut self,
        from: &Name,
        ed: Version,
        prev: ChangeNo,
        es: Vec<PackedEntry>,
        end: ChangeNo,
    ) {
        if ed != self.view.version || self.view.neighbour(&self.me, -1) != Some(from) {
            return;
        }
        if prev > self.store.n {
            return self.request_next(from);
        }
        let had = self.store.n;
        for packed in es {
            if let Some(entry) = packed.unpack() {
                self.append(&entry, packed);
            }
        }
        if self.store.n >= end {
            self.joined = true;
            self.set_catching_up(false);
        } else if self.store.n > had {
            self.request_next(from);
        }
        if self.store.n > had {
            self.pass_on(had);
        }
    }

    /// Hands what came after `had` to the successor.
    pub(crate) fn pass_on(&mut self, had: ChangeNo) {
        if let Some(to) = self.view.neighbour(&self.me, 1).cloned()
            && let Some(entries) = self.after(had)
        {
            let m = PeerMessage::Pass { version: self.view.version, prev: had, entries, end: self.store.n };
            self.send(&to, m);
        }
    }

    pub(crate) fn need(&mut self, from: &Name, ed: Version, n: ChangeNo, progress: SnapshotProgress) {
        if ed != self.view.version || self.view.neighbour(&self.me, 1) != Some(from) {
            return;
        }
        let m = match self.after(n) {
            Some(entries) => PeerMessage::Pass { version: ed, prev: n, entries, end: self.store.n },
            None => self.snapshot_message(false, progress),
        };
        self.send(from, m);
        self.hand_over_leases();
    }

    pub(crate) fn acked(&mut self, from: &Name, ed: Version, committed: ChangeNo, in_force: ChangeNo) {
        if ed != self.view.version || self.view.neighbour(&self.me, 1) != Some(from) {
            return;
        }
        let moved = committed > self.committed || in_force > self.in_force;
        self.committed = self.committed.max(committed);
        self.in_force = self.in_force.max(in_force);
        self.acked = self.acked.max(committed);
        if moved && let Some(p) = self.view.neighbour(&self.me, -1).cloned() {
            let m = self.ack();
            self.send(&p, m);
        }
    }

    pub(crate) fn set_catching_up(&mut self, yes: bool) {
        if self.catching_up != yes {
            self.catching_up = yes;
            self.out.push(Output::Persist(Record::CatchingUp { yes }));
        }
    }
}
