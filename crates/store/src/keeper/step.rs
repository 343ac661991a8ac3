//! One step of a keeper: dispatch of its input to the handlers.
use super::snapshot_transfer::TransferPurpose;
use super::{Input, Keeper, Output};
use crate::messages::PeerMessage;
use crate::timing::PEER_TIMEOUT;
use quincehatch_core::{Millis, Name};

impl Keeper {
    /// Handles one input and returns the resulting outputs. None of them may leave the keeper before the records among
    /// them are durable.
    pub fn step(&mut self, now: Millis, input: Input) -> Vec<Output> {
        self.advance_clock(now);
        match input {
            Input::Peer { from, message } => self.handle_peer_message(&from, message),
            Input::Request { token, request } => self.handle_request(token, request),
            Input::Seeds(seeds) => self.set_seeds(seeds),
            Input::Leave { within } => self.begin_leave(within),
            Input::Tick => self.tick(),
        }
        self.commit_and_answer();
        std::mem::take(&mut self.outputs)
    }

    /// Advances the clock, which never goes back. A keeper that was suspended cannot tell which peers were silent
    /// meanwhile, so after a long gap the peer timeouts start anew.
    pub fn advance_clock(&mut self, now: Millis) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap >= PEER_TIMEOUT {
            for heard_at in self.last_heard.values_mut() {
                *heard_at = now;
            }
        }
    }

    /// Sends a message. A message to the keeper itself, which votes on its own proposals, is handled immediately.
    pub(super) fn send(&mut self, to: &Name, message: PeerMessage) {
        if *to == self.name {
            let own_name = self.name.clone();
            self.handle_peer_message(&own_name, message);
        } else {
            self.outputs.push(Output::Send(to.clone(), message));
        }
    }

    fn tick(&mut self) {
        self.run_discovery();
        if self.now >= self.next_heartbeat_at && !self.is_outside_view() {
            self.send_heartbeat();
            self.report_to_predecessor();
        }
        if self.leaving.is_some() {
            self.continue_leave();
        } else {
            self.repair_view();
        }
    }

    fn handle_peer_message(&mut self, from: &Name, message: PeerMessage) {
        self.last_heard.insert(from.clone(), self.now);
        match message {
            PeerMessage::Prepare { ref base, .. } | PeerMessage::Accept { ref base, .. } => {
                self.adopt_view(base.clone());
                self.handle_proposal(from, &message);
            }
            PeerMessage::Promise { .. } | PeerMessage::Accepted { .. } => self.handle_vote(from, &message),
            PeerMessage::Heartbeat { view, sequence, last_change: _ } => {
                self.handle_heartbeat(from, view, sequence);
            }
            PeerMessage::GrantViewLease { version, sequence } => self.handle_grant(from, version, sequence),
            message @ (PeerMessage::AppendEntries { .. }
            | PeerMessage::RequestEntries { .. }
            | PeerMessage::Acknowledge { .. }) => self.handle_replication(from, message),
            PeerMessage::FetchSnapshot { version: _, progress } => self.handle_fetch_snapshot(from, progress),
            PeerMessage::HandOverLeases { version, leases, unknown_leases_ms } => {
                self.handle_lease_handover(from, version, &leases, unknown_leases_ms);
            }
            PeerMessage::Snapshot { version, part, joining, dismissed_leases, unknown_leases_ms } => {
                let purpose = TransferPurpose::from_joining(joining);
                if self.accept_snapshot_part(from, version, part, purpose) {
                    self.dismissed_leases.replace_all(self.now, dismissed_leases, unknown_leases_ms);
                }
            }
            PeerMessage::Discover { at } => self.handle_discover(from, at),
            PeerMessage::CurrentView { view } => self.adopt_view(view),
            PeerMessage::Invite { base, view } => self.handle_invite(base, view),
        }
    }
}
