//! Heartbeats between keepers, and the view lease that a majority of them renews (§5.3).
use crate::keeper::Keeper;
use crate::messages::PeerMessage;
use crate::terms::{BEAT, VIEW_LEASE, safe};
use quincehatch_core::Name;

impl Keeper {
    /// Heartbeat to every disk machine; it asks for the view lease too.
    pub(crate) fn beat(&mut self) {
        self.next_beat = self.now + BEAT;
        self.seq += 1;
        let (seq, now) = (self.seq, self.now);
        self.sent.insert(seq, now);
        let old = now.saturating_sub(VIEW_LEASE);
        self.sent.retain(|_, at| *at >= old);
        let sent = &self.sent;
        self.grants.retain(|s, _| sent.contains_key(s));
        let m = PeerMessage::Beat { view: self.view.clone(), seq, n: self.store.n };
        for to in self.view.machines.clone() {
            self.send(&to.name, m.clone());
        }
    }

    pub(crate) fn granted(&mut self, from: &Name, version: u64, seq: u64) {
        let Some(at) = self.sent.get(&seq).copied().filter(|_| version == self.view.version) else { return };
        let g = self.grants.entry(seq).or_default();
        g.insert(from.clone());
        if self.view.majority(g.iter()) {
            self.lease_until = self.lease_until.max(at + safe(VIEW_LEASE));
            self.granted_heartbeat = self.granted_heartbeat.max(seq);
        }
    }
}
