//! Graceful shutdown: the keeper hands over its vote and leaves the chain before its process ends.
use crate::keeper::{Keeper, Output};
use crate::timing::PROPOSAL_INTERVAL;
use quincehatch_core::Millis;

/// Time before the deadline from which a keeper leaves the chain without handing over its vote. Until then it tries to
/// hand over the vote: if another voter is lost at the same time, this leaves time to repair the chain first.
const VOTE_HANDOVER_MARGIN: Millis = 500;

/// State of a graceful shutdown.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct Leaving {
    /// The process ends by then, even if the keeper has not left the chain.
    deadline: Millis,
}

impl Leaving {
    /// Returns whether there is time left to hand over the vote.
    fn may_hand_over_vote(&self, now: Millis) -> bool {
        now + VOTE_HANDOVER_MARGIN < self.deadline
    }
}

impl Keeper {
    /// Begins to leave the chain; the process may end after `within` at the latest.
    pub(in crate::keeper) fn begin_leave(&mut self, within: Millis) {
        if self.leaving.is_none() {
            self.leaving = Some(Leaving { deadline: self.now + within });
            self.outputs.push(Output::Log("leaving the chain for shutdown".into()));
            self.continue_leave();
        }
    }

    /// Continues to leave the chain. The vote is handed over to a keeper outside the view; if there is none, or if that
    /// takes too long, the keeper leaves the chain but remains a voter.
    pub(in crate::keeper) fn continue_leave(&mut self) {
        let Some(leaving) = &self.leaving else { return };
        let may_hand_over_vote = leaving.may_hand_over_vote(self.now);
        if self.is_ready_to_stop() {
            return self.hand_over_leases();
        }
        let is_too_soon = self.now < self.last_proposal_at + PROPOSAL_INTERVAL;
        if self.repropose_accepted_view() || is_too_soon || !self.peers_hold_committed_entries() {
            return;
        }
        let new_voter = self.candidates().into_iter().next().filter(|_| may_hand_over_vote);
        match new_voter {
            Some(new_voter) => {
                let new_voter_name = new_voter.name.clone();
                let view = self.view.with_voter_replaced(&self.name, new_voter);
                self.invite(&new_voter_name, view);
            }
            None => self.propose(self.view.without_member(&self.name)),
        }
    }

    /// Returns whether the process of a leaving keeper may end: the keeper is outside the chain and, if there is a
    /// keeper to take over its vote, no longer a voter; or the deadline has passed.
    pub fn is_ready_to_stop(&self) -> bool {
        let Some(leaving) = &self.leaving else { return false };
        if self.now >= leaving.deadline {
            return true;
        }
        let may_hand_over_vote = leaving.may_hand_over_vote(self.now) && !self.candidates().is_empty();
        let is_handing_over = self.is_voter() && may_hand_over_vote;
        !self.is_member() && !is_handing_over
    }

    /// Returns whether every committed entry is on another member's disk too. The predecessors of a tail hold all
    /// entries that it holds. Every other member holds them as well, unless it is still catching up, and only the tail
    /// can be catching up.
    fn peers_hold_committed_entries(&self) -> bool {
        match self.view.members.len() {
            0 => true,
            1 => !self.is_member(),
            2 if self.is_head() => self.acknowledged >= self.last_change_at_adoption,
            _ => true,
        }
    }
}
