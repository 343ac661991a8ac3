//! What a keeper does with each message of its peers (§5.2, §5.3).
use crate::keeper::Keeper;
use crate::messages::PeerMessage;
use crate::snapshot_transfer::TransferPurpose;
use quincehatch_core::Name;

impl Keeper {
    pub(crate) fn handle_peer_message(&mut self, from: &Name, m: PeerMessage) {
        self.last_heard.insert(from.clone(), self.now);
        match m {
            PeerMessage::Prepare { ref base, .. } | PeerMessage::Accept { ref base, .. } => {
                self.adopt_view(base.clone());
                self.handle_proposal(from, &m);
            }
            PeerMessage::Promise { .. } | PeerMessage::Accepted { .. } => {
                let actions = self.proposer.step(from, &m);
                self.perform(actions);
            }
            PeerMessage::Beat { view, sequence: seq, last_change: _ } => {
                let version = view.version;
                self.inform_outdated_peer(from, &view);
                self.adopt_view(view);
                if self.acceptor.accepted_version() <= version && self.view.version <= version {
                    self.send(from, PeerMessage::GrantViewLease { version, sequence: seq });
                }
            }
            PeerMessage::GrantViewLease { version, sequence: seq } => self.granted(from, version, seq),
            PeerMessage::AppendEntries { version, previous_change: prev, entries, last_change } => {
                self.handle_append_entries(from, version, prev, entries, last_change)
            }
            PeerMessage::RequestEntries { version, last_change: n, progress } => {
                self.handle_request_entries(from, version, n, progress)
            }
            PeerMessage::Acknowledge { version, committed, in_force } => {
                self.acked(from, version, committed, in_force)
            }
            PeerMessage::FetchSnapshot { progress, .. } => self.handle_fetch(from, progress),
            PeerMessage::HandOverLeases { version, leases: rows, unknown_leases_ms } => {
                self.handle_hand_over_leases(from, version, &rows, unknown_leases_ms);
            }
            PeerMessage::Snapshot { version, part, joining: join, dismissed_leases, unknown_leases_ms } => {
                if self.accept_snapshot_part(from, version, part, TransferPurpose::from_joining(join)) {
                    self.unknown_leases_until = self.now + unknown_leases_ms;
                    self.dismissed_leases =
                        dismissed_leases.into_iter().map(|(n, left)| (n, self.now + left)).collect();
                }
            }
            PeerMessage::Discover { at } => self.handle_discover(from, at),
            PeerMessage::CurrentView { view } => self.adopt_view(view),
            PeerMessage::Invite { base, view } => self.handle_invite(base, view),
        }
    }
}
