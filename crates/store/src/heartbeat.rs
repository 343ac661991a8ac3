//! Heartbeats between keepers, and the view lease that a majority of them renews (§5.3).
use crate::keeper::Keeper;
use crate::messages::PeerMessage;
use crate::terms::{HEARTBEAT_INTERVAL, VIEW_LEASE, minus_clock_drift};
use quincehatch_core::Name;

impl Keeper {
    /// Heartbeat to every disk machine; it asks for the view lease too.
    pub(crate) fn send_heartbeat(&mut self) {
        self.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL;
        self.heartbeat_sequence += 1;
        let (seq, now) = (self.heartbeat_sequence, self.now);
        self.sent_heartbeats.insert(seq, now);
        let old = now.saturating_sub(VIEW_LEASE);
        self.sent_heartbeats.retain(|_, at| *at >= old);
        let sent = &self.sent_heartbeats;
        self.heartbeat_grants.retain(|s, _| sent.contains_key(s));
        let m =
            PeerMessage::Beat { view: self.view.clone(), sequence: seq, last_change: self.store.last_change };
        for to in self.view.voters.clone() {
            self.send(&to.name, m.clone());
        }
    }

    pub(crate) fn granted(&mut self, from: &Name, version: u64, seq: u64) {
        let Some(at) = self.sent_heartbeats.get(&seq).copied().filter(|_| version == self.view.version)
        else {
            return;
        };
        let g = self.heartbeat_grants.entry(seq).or_default();
        g.insert(from.clone());
        if self.view.has_majority(g.iter()) {
            self.view_lease_until = self.view_lease_until.max(at + minus_clock_drift(VIEW_LEASE));
            self.confirmed_heartbeat = self.confirmed_heartbeat.max(seq);
        }
    }
}
