//! Heartbeats to the voters, and the voters' grants of the view lease in response.
use super::Keeper;
use crate::messages::PeerMessage;
use crate::timing::HEARTBEAT_INTERVAL;
use crate::view::View;
use quincehatch_core::{Name, Version};

impl Keeper {
    /// Sends a heartbeat to every voter, which also requests a renewal of the view lease.
    pub(super) fn send_heartbeat(&mut self) {
        self.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL;
        let sequence = self.view_lease.begin_heartbeat(self.now);
        let heartbeat =
            PeerMessage::Heartbeat { view: self.view.clone(), sequence, last_change: self.store.last_change };
        for voter in self.view.voters.clone() {
            self.send(&voter.name, heartbeat.clone());
        }
    }

    /// Adopts the sender's view if it is newer, and renews the sender's view lease unless this voter knows of a newer
    /// view.
    pub(super) fn handle_heartbeat(&mut self, from: &Name, view: View, sequence: u64) {
        let version = view.version;
        self.inform_outdated_peer(from, &view);
        self.adopt_view(view);
        // A view that this voter has accepted must not be newer either: it may be decided already, and its tail may
        // serve.
        if self.acceptor.accepted_version() <= version && self.view.version <= version {
            self.send(from, PeerMessage::GrantViewLease { version, sequence });
        }
    }

    /// Counts a voter's grant if it is for the current view.
    pub(super) fn handle_grant(&mut self, from: &Name, version: Version, sequence: u64) {
        if version == self.view.version {
            self.view_lease.record_grant(&self.view, from, sequence);
        }
    }
}
