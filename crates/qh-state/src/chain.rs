//! Replication along the chain: passing entries down, acknowledging up, catching up (§5.2, §5.3).
use crate::entry_log::PackedEntry;
use crate::keeper::{Keeper, Output, Record};
use crate::messages::{Answer, Command, Entry, LeaseRow, PeerMessage, View};
use crate::snapshot::{OutgoingSnapshot, SnapshotPart, SnapshotProgress};
use crate::store::Store;
use crate::terms::{NODE_LEASE, TRANSFER_BYTES, VIEW_LEASE, outlast};
use qh_core::{ChangeNo, Ms, Name, Version};

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

    /// Tells the tail which leases this keeper granted when it was the tail of the view before. It grants and serves
    /// no more.
    pub(crate) fn hand_over_leases(&mut self) {
        let (Some(granted), Some(tail)) = (&self.granted, self.view.tail().cloned()) else { return };
        let version = self.view.version;
        let (rows, unknown_leases) = (granted.rows(self.now), granted.unknown_leases(self.now));
        self.send(&tail, PeerMessage::Leases { version, rows, unknown_leases });
    }

    /// What the tail before granted, from itself. That it stands in this view means that it serves no more, and it had
    /// outlasted every tail before it: there is nothing left to wait for.
    pub(crate) fn take_over_leases(&mut self, from: &Name, version: Version, rows: &[LeaseRow], unknown: Ms) {
        // Once it has served in this view it has granted leases itself, perhaps in an earlier life.
        if version != self.view.version || self.served == version || !self.is_tail() {
            return;
        }
        let was_tail = self.previous_view.as_ref().is_some_and(|v| v.tail() == Some(from));
        if !was_tail && self.view.neighbour(&self.me, -1) != Some(from) {
            return;
        }
        let now = self.now;
        self.leases().handed(now, rows, unknown);
        if was_tail {
            self.wait_until = now;
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

    /// Asks the forerunner for what comes next.
    pub(crate) fn request_next(&mut self, from: &Name) {
        let progress = self.incoming_snapshot.progress(from);
        let need = PeerMessage::Need { version: self.view.version, n: self.store.n, progress };
        self.send(from, need);
    }

    /// The next part of a snapshot; an older one is sent to its end as long as the log follows on it.
    fn snapshot_message(&mut self, join: bool, progress: SnapshotProgress) -> PeerMessage {
        let (log, n) = (&self.log, self.store.n);
        let follows = |sent: &OutgoingSnapshot| sent.n() == n || log.reaches_back_to(sent.n());
        let snapshot = match self.outgoing_snapshot.take().filter(follows) {
            Some(sent) => sent,
            None => OutgoingSnapshot::of(&self.store),
        };
        let part = self.outgoing_snapshot.insert(snapshot).part_after(progress);
        let left = |until: &Ms| until.saturating_sub(self.now);
        let dismissed_leases =
            self.dismissed_leases.iter().map(|(n, until)| (n.clone(), left(until))).collect();
        let (version, unknown_leases) = (self.view.version, left(&self.unknown_leases_until));
        PeerMessage::Snapshot { version, part, join, dismissed_leases, unknown_leases }
    }

    pub(crate) fn fetch(&mut self, from: &Name, _ed: Version, progress: SnapshotProgress) {
        if self.serving() && !self.view.has(from) {
            let m = self.snapshot_message(true, progress);
            self.send(from, m);
        }
    }

    /// Part of the whole store, from the tail (to join) or from my forerunner (its log did not reach back to me). Was
    /// the store taken?
    pub(crate) fn take_snapshot_part(
        &mut self,
        from: &Name,
        ed: Version,
        part: SnapshotPart,
        join: bool,
    ) -> bool {
        if ed != self.view.version {
            return false;
        }
        let member = self.view.has(&self.me);
        let takes = if join { !member } else { member && self.view.neighbour(&self.me, -1) == Some(from) };
        if !takes || (!join && part.id.n <= self.store.n) || !self.incoming_snapshot.take(from, part) {
            return false;
        }
        if let Some(store) = self.incoming_snapshot.finish() {
            return self.install_snapshot(store, join);
        }
        match join {
            true => self.fetch_next(from),
            false => self.request_next(from),
        }
        false
    }

    /// Takes the whole store in place of its own. One that is to join proposes the view in which it has its place;
    /// without a place to go to it takes nothing.
    fn install_snapshot(&mut self, store: Store, join: bool) -> bool {
        let entering = if join { self.view_to_enter() } else { None };
        if join && entering.is_none() {
            return false;
        }
        self.store = store;
        self.log.clear();
        self.news.clear();
        self.committed = 0;
        self.in_force = 0;
        self.out.push(Output::Persist(Record::Snapshot { store: Box::new(self.store.clone()) }));
        if let Some(view) = entering {
            self.set_catching_up(true);
            self.propose(view);
            return true;
        }
        self.joined = true;
        self.set_catching_up(false);
        self.pass_on(self.store.n);
        true
    }

    /// Asks the tail for the next part of its store.
    pub(crate) fn fetch_next(&mut self, tail: &Name) {
        self.fetched = self.now;
        let progress = self.incoming_snapshot.progress(tail);
        let m = PeerMessage::Fetch { version: self.view.version, progress };
        self.send(tail, m);
    }

    fn set_catching_up(&mut self, yes: bool) {
        if self.catching_up != yes {
            self.catching_up = yes;
            self.out.push(Output::Persist(Record::CatchingUp { yes }));
        }
    }
}
