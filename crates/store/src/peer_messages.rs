//! What a keeper does with each message of its peers (§5.2, §5.3).
use crate::keeper::Keeper;
use crate::messages::PeerMessage;
use quincehatch_core::Name;

impl Keeper {
    pub(crate) fn peer(&mut self, from: &Name, m: PeerMessage) {
        self.heard.insert(from.clone(), self.now);
        match m {
            PeerMessage::Prepare { ref base, .. } | PeerMessage::Accept { ref base, .. } => {
                self.adopt(base.clone());
                self.vote(from, &m);
            }
            PeerMessage::Promise { .. } | PeerMessage::Accepted { .. } => {
                let actions = self.proposer.step(from, &m);
                self.actions(actions);
            }
            PeerMessage::Beat { view, seq, n: _ } => {
                let version = view.version;
                self.inform_outsider(from, &view);
                self.adopt(view);
                if self.acceptor.version() <= version && self.view.version <= version {
                    self.send(from, PeerMessage::Grant { version, seq });
                }
            }
            PeerMessage::Grant { version, seq } => self.granted(from, version, seq),
            PeerMessage::Pass { version, prev, entries, end } => self.pass(from, version, prev, entries, end),
            PeerMessage::Need { version, n, progress } => self.need(from, version, n, progress),
            PeerMessage::Ack { version, committed, in_force } => {
                self.acked(from, version, committed, in_force)
            }
            PeerMessage::Fetch { version, progress } => self.fetch(from, version, progress),
            PeerMessage::Leases { version, rows, unknown_leases } => {
                self.take_over_leases(from, version, &rows, unknown_leases);
            }
            PeerMessage::Snapshot { version, part, join, dismissed_leases, unknown_leases } => {
                if self.take_snapshot_part(from, version, part, join) {
                    self.unknown_leases_until = self.now + unknown_leases;
                    self.dismissed_leases =
                        dismissed_leases.into_iter().map(|(n, left)| (n, self.now + left)).collect();
                }
            }
            PeerMessage::Discover { at } => self.on_discover(from, at),
            PeerMessage::CurrentView { view } => self.adopt(view),
            PeerMessage::Invite { base, view } => self.invited(base, view),
        }
    }
}
