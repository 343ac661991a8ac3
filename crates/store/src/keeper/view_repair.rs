//! Repair of the view: unresponsive members are removed from the chain, voters outside it come back.
use super::{Keeper, Output};
use crate::timing::{PEER_TIMEOUT, PROPOSAL_INTERVAL};
use quincehatch_core::Name;

impl Keeper {
    /// One step of repair. Members propose one after the other, in the order of the chain, so that the first responsive
    /// one usually does it alone.
    pub(super) fn repair_view(&mut self) {
        if self.finish_accepted_view() {
            return;
        }
        if !self.is_member() {
            return self.return_to_chain();
        }
        let responsive: Vec<Name> =
            self.view.members.iter().filter(|member| self.is_responsive(member)).cloned().collect();
        if responsive.len() == self.view.members.len() {
            return self.invite_replacement();
        }
        let rank = responsive.iter().position(|member| *member == self.name).unwrap_or(0) as u64;
        let is_early = self.now < self.view_adopted_at + PEER_TIMEOUT + rank * PROPOSAL_INTERVAL;
        let has_proposed = self.now < self.last_proposal_at + PROPOSAL_INTERVAL * (2 + rank);
        // A member that is catching up may lack committed entries that only the unresponsive ones hold.
        if is_early || has_proposed || self.catching_up {
            return;
        }
        let repaired = self.view.with_members(responsive);
        self.outputs.push(Output::Log(format!("repairing the view to {}", repaired.members.join(" "))));
        self.propose(repaired);
    }

    /// A voter outside the chain fetches the store; with all of it at hand it proposes the view in which it is the tail.
    fn return_to_chain(&mut self) {
        if self.is_voter() && self.now >= self.last_fetch_at + 2 * PROPOSAL_INTERVAL {
            self.fetch_store();
        }
    }

    /// Members have the time-out from when the view was adopted to be heard from.
    fn is_responsive(&self, member: &Name) -> bool {
        if *member == self.name {
            return true;
        }
        let heard_at = self.last_heard.get(member).copied().unwrap_or(0);
        heard_at.max(self.view_adopted_at) + PEER_TIMEOUT >= self.now
    }
}
