//! Repair of the view: unresponsive members are removed from the chain, and voters outside the chain rejoin it.
use super::{Keeper, Output};
use crate::timing::{PEER_TIMEOUT, PROPOSAL_INTERVAL};
use quincehatch_core::Name;

impl Keeper {
    /// Proposes a view without the unresponsive members, if there are any. Responsive members wait for different times,
    /// in the order of the chain, so that usually only the first of them proposes.
    pub(super) fn repair_view(&mut self) {
        if self.repropose_accepted_view() {
            return;
        }
        if !self.is_member() {
            return self.rejoin_chain();
        }
        let responsive: Vec<Name> =
            self.view.members.iter().filter(|member| self.is_responsive(member)).cloned().collect();
        if responsive.len() == self.view.members.len() {
            return self.invite_replacement();
        }
        let rank = responsive.iter().position(|member| *member == self.name).unwrap_or(0) as u64;
        let is_early = self.now < self.view_adopted_at + PEER_TIMEOUT + rank * PROPOSAL_INTERVAL;
        let has_proposed_recently = self.now < self.last_proposal_at + PROPOSAL_INTERVAL * (2 + rank);
        // A member that is catching up may lack committed entries that only the unresponsive members hold.
        if is_early || has_proposed_recently || self.catching_up {
            return;
        }
        let repaired = self.view.with_members(responsive);
        self.outputs
            .push(Output::Log(format!("repairing the chain, new members: {}", repaired.members.join(" "))));
        self.propose(repaired);
    }

    /// Lets a voter outside the chain fetch the store, after which it proposes the view in which it is the tail.
    fn rejoin_chain(&mut self) {
        if self.is_voter() && self.now >= self.last_fetch_at + 2 * PROPOSAL_INTERVAL {
            self.fetch_store();
        }
    }

    /// Returns whether a message from the member has arrived within the timeout, which starts no earlier than the
    /// adoption of the view.
    fn is_responsive(&self, member: &Name) -> bool {
        if *member == self.name {
            return true;
        }
        let heard_at = self.last_heard.get(member).copied().unwrap_or(0);
        heard_at.max(self.view_adopted_at) + PEER_TIMEOUT >= self.now
    }
}
