//! Replication along the chain: passing entries down, acknowledging up, catching up (§5.2, §5.3).
use crate::keeper::{Keeper, Output, Record};
use crate::messages::{Answer, Command, Entry, PeerMessage, View};
use crate::store::Store;
use crate::terms::{LOG_KEEP, NODE_LEASE, VIEW_LEASE, outlast};
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
        self.view = v;
        self.view_since = self.now;
        self.out.push(Output::Persist(Record::View { view: self.view.clone() }));
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
            self.granted =
                self.leases.take().filter(|_| whole && self.view.tail() == self.view.neighbour(&self.me, 1));
        }
        if let Some(p) = self.view.neighbour(&self.me, -1).cloned() {
            let need = PeerMessage::Need { version: self.view.version, n: self.store.n };
            self.send(&p, need);
        }
    }

    pub(crate) fn ack(&self) -> PeerMessage {
        PeerMessage::Ack { version: self.view.version, committed: self.committed, in_force: self.in_force }
    }

    pub(crate) fn append(&mut self, e: Entry) -> Option<Answer> {
        let (a, news) = self.store.apply_told(&e)?;
        if let Command::Dismiss { node, .. } = &e.cmd
            && !self.store.nodes.contains_key(node)
        {
            let now = self.now;
            self.dismissed_leases.retain(|_, until| *until > now);
            self.dismissed_leases.insert(node.clone(), now + outlast(NODE_LEASE));
        }
        self.record_change(e.n, news);
        self.out.push(Output::Persist(Record::Entry { e: e.clone() }));
        self.log.push_back(e);
        if self.log.len() > LOG_KEEP {
            self.log.pop_front();
        }
        Some(a)
    }

    /// Entries after `n`, if the log still has them.
    pub(crate) fn after(&self, n: ChangeNo) -> Option<Vec<Entry>> {
        if n >= self.store.n {
            return Some(Vec::new());
        }
        let first = self.log.front().map(|e| e.n)?;
        (first <= n + 1).then(|| self.log.iter().filter(|e| e.n > n).cloned().collect())
    }

    pub(crate) fn pass(&mut self, from: &Name, ed: Version, prev: ChangeNo, es: Vec<Entry>, end: ChangeNo) {
        if ed != self.view.version || self.view.neighbour(&self.me, -1) != Some(from) {
            return;
        }
        if prev > self.store.n {
            let need = PeerMessage::Need { version: ed, n: self.store.n };
            return self.send(from, need);
        }
        let had = self.store.n;
        for e in es {
            self.append(e);
        }
        if self.store.n >= end {
            self.joined = true;
            self.set_catching_up(false);
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

    pub(crate) fn need(&mut self, from: &Name, ed: Version, n: ChangeNo) {
        if ed != self.view.version || self.view.neighbour(&self.me, 1) != Some(from) {
            return;
        }
        let m = match self.after(n) {
            Some(entries) => PeerMessage::Pass { version: ed, prev: n, entries, end: self.store.n },
            None => self.snapshot_message(false),
        };
        self.send(from, m);
        if let Some(g) = &self.granted {
            let (rows, unknown_leases) = (g.rows(self.now), g.unknown_leases(self.now));
            self.send(from, PeerMessage::Leases { version: ed, rows, unknown_leases });
        }
    }

    pub(crate) fn acked(&mut self, from: &Name, ed: Version, committed: ChangeNo, in_force: ChangeNo) {
        if ed != self.view.version || self.view.neighbour(&self.me, 1) != Some(from) {
            return;
        }
        let moved = committed > self.committed || in_force > self.in_force;
        self.committed = self.committed.max(committed);
        self.in_force = self.in_force.max(in_force);
        if moved && let Some(p) = self.view.neighbour(&self.me, -1).cloned() {
            let m = self.ack();
            self.send(&p, m);
        }
    }

    fn snapshot_message(&self, join: bool) -> PeerMessage {
        let left = |until: &Ms| until.saturating_sub(self.now);
        let dismissed_leases =
            self.dismissed_leases.iter().map(|(n, until)| (n.clone(), left(until))).collect();
        let (version, store) = (self.view.version, Box::new(self.store.clone()));
        PeerMessage::Snapshot {
            version,
            store,
            join,
            dismissed_leases,
            unknown_leases: left(&self.unknown_leases_until),
        }
    }

    pub(crate) fn fetch(&mut self, from: &Name, _ed: Version) {
        if self.serving() && !self.view.has(from) && self.view.is_voter(from) {
            let m = self.snapshot_message(true);
            self.send(from, m);
        }
    }

    /// The whole store from the tail (to join) or from my forerunner (its log did not reach back to me). Was it taken?
    pub(crate) fn install_snapshot(&mut self, from: &Name, ed: Version, store: Store, join: bool) -> bool {
        if ed != self.view.version {
            return false;
        }
        let member = self.view.has(&self.me);
        let joins = !member && self.view.is_voter(&self.me);
        let takes = if join { joins } else { member && self.view.neighbour(&self.me, -1) == Some(from) };
        if !takes || (!join && store.n <= self.store.n) {
            return false;
        }
        self.store = store;
        self.log.clear();
        self.news.clear();
        self.committed = 0;
        self.in_force = 0;
        self.out.push(Output::Persist(Record::Snapshot { store: Box::new(self.store.clone()) }));
        if join {
            let mut want = self.view.clone();
            want.version += 1;
            want.members.push(self.me.clone());
            self.set_catching_up(true);
            self.propose(want);
        } else {
            self.joined = true;
            self.set_catching_up(false);
            self.pass_on(self.store.n);
        }
        true
    }

    fn set_catching_up(&mut self, yes: bool) {
        if self.catching_up != yes {
            self.catching_up = yes;
            self.out.push(Output::Persist(Record::CatchingUp { yes }));
        }
    }
}
