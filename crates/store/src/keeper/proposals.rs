//! The keeper's roles in deciding views: acceptor of other keepers' proposals, and proposer.
use super::{Keeper, Output};
use crate::messages::PeerMessage;
use crate::record::Record;
use crate::register::ProposerAction;
use crate::timing::PROPOSAL_INTERVAL;
use crate::view::View;
use quincehatch_core::Name;

impl Keeper {
    /// Answers a proposal, whose base view this keeper has adopted before the call.
    pub(super) fn handle_proposal(&mut self, proposer: &Name, message: &PeerMessage) {
        let Some(reply) = self.acceptor.step(self.view.version, message) else { return };
        if reply.state_changed {
            self.outputs.push(Output::Persist(Record::Acceptor { acceptor: self.acceptor.clone() }));
        }
        self.send(proposer, reply.message);
    }

    /// Handles a voter's answer to a proposal of this keeper.
    pub(super) fn handle_vote(&mut self, from: &Name, message: &PeerMessage) {
        let actions = self.proposer.step(from, message);
        self.perform(actions);
    }

    /// Proposes the view unless a proposal is in progress. A view with a member that is not a voter is not proposed, as
    /// addresses are part of the list of voters and the other keepers could not reach that member.
    pub(super) fn propose(&mut self, wanted: View) {
        let all_vote = wanted.members.iter().all(|member| wanted.is_voter(member));
        if !all_vote || self.proposer.is_busy(self.now, PROPOSAL_INTERVAL) {
            return;
        }
        self.last_proposal_at = self.now;
        // The ballot must be higher than any that this voter has promised to other proposers.
        self.proposer.observe_ballot(self.acceptor.promised.number);
        let base = self.view.clone();
        let actions = self.proposer.start_proposal(self.now, &base, wanted);
        self.perform(actions);
    }

    /// Proposes a view again that this voter has accepted and does not know to be decided, in case its proposer has
    /// stopped. Until that view is decided, this voter does not renew the lease of the current view. Returns whether
    /// there is such a view.
    pub(super) fn repropose_accepted_view(&mut self) -> bool {
        let accepted = self.acceptor.accepted.as_ref().map(|accepted| accepted.view.clone());
        let Some(undecided) = accepted.filter(|view| view.version > self.view.version) else {
            self.undecided_view_since = None;
            return false;
        };
        let since = *self.undecided_view_since.get_or_insert(self.now);
        // Each voter waits longer than the one before it in the list, so that they do not all propose at the same time.
        let rank = undecided.voters.iter().position(|voter| voter.name == self.name).unwrap_or(0) as u64;
        let wait = PROPOSAL_INTERVAL * (2 + rank);
        if self.now >= since + wait && self.now >= self.last_proposal_at + wait {
            self.propose(undecided);
        }
        true
    }

    fn perform(&mut self, actions: Vec<ProposerAction>) {
        for action in actions {
            match action {
                ProposerAction::Send(to, message) => self.send(&to, message),
                ProposerAction::Decided { view, base } => self.announce_decided_view(view, &base),
            }
        }
    }

    /// Announces a decided view: to its voters by a heartbeat, and to voters of the base that are no longer voters by a
    /// message of its own.
    fn announce_decided_view(&mut self, view: View, base: &View) {
        let members = view.members.join(" ");
        self.outputs
            .push(Output::Log(format!("view {} was decided, chain members: {members}", view.version)));
        self.adopt_view(view.clone());
        self.send_heartbeat();
        for voter in base.voters.iter().filter(|voter| !view.is_voter(&voter.name)) {
            self.send(&voter.name, PeerMessage::CurrentView { view: view.clone() });
        }
    }
}
