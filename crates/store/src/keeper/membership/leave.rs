//! An orderly leave: the keeper hands over its vote and its place before its process ends.
use crate::keeper::{Keeper, Output};
use crate::timing::PROPOSAL_INTERVAL;
use quincehatch_core::Millis;

/// The end of the time to leave, in which a keeper leaves the chain without handing over its vote. Before that it tries
/// to: if another voter is lost at the same moment, the chain is repaired and served again first.
const LEAVE_RESERVE: Millis = 500;

/// A keeper that was told to stop.
#[derive(Clone, Debug)]
pub(in crate::keeper) struct Leaving {
    /// It ends by then, whatever it has achieved.
    deadline: Millis,
}

impl Leaving {
    /// Is there time left to hand over the vote?
    fn may_hand_over_vote(&self, now: Millis) -> bool {
        now + LEAVE_RESERVE < self.deadline
    }
}

impl Keeper {
    /// Begins to leave; it is over after `within` at the latest.
    pub(in crate::keeper) fn begin_leave(&mut self, within: Millis) {
        if self.leaving.is_none() {
            self.leaving = Some(Leaving { deadline: self.now + within });
            self.outputs.push(Output::Log("leaving".into()));
            self.continue_leave();
        }
    }

    /// One step of a leave. The vote goes to a keeper outside the view; if there is none, or if that takes too long, the
    /// keeper leaves the chain and keeps its vote.
    pub(in crate::keeper) fn continue_leave(&mut self) {
        let Some(leaving) = &self.leaving else { return };
        let may_hand_over_vote = leaving.may_hand_over_vote(self.now);
        if self.has_left() {
            return self.hand_over_leases();
        }
        let is_too_soon = self.now < self.last_proposal_at + PROPOSAL_INTERVAL;
        if self.finish_accepted_view() || is_too_soon || !self.others_hold_everything() {
            return;
        }
        let newcomer = self.candidates().into_iter().next().filter(|_| may_hand_over_vote);
        match newcomer {
            Some(newcomer) => {
                let newcomer_name = newcomer.name.clone();
                let view = self.view.with_vote_moved(&self.name, newcomer);
                self.invite(&newcomer_name, view);
            }
            None => self.propose(self.view.without_member(&self.name)),
        }
    }

    /// May the process of a leaving keeper end? It is out of the chain, and its vote is handed over if any keeper takes
    /// it; or its time is up.
    pub fn has_left(&self) -> bool {
        let Some(leaving) = &self.leaving else { return false };
        if self.now >= leaving.deadline {
            return true;
        }
        let may_hand_over_vote = leaving.may_hand_over_vote(self.now) && !self.candidates().is_empty();
        let is_handing_over = self.is_voter() && may_hand_over_vote;
        !self.is_member() && !is_handing_over
    }

    /// Is everything committed on another member's disk too? The predecessors of a tail hold all that it has; so do all
    /// members but one that is still catching up, and that can only be the tail.
    fn others_hold_everything(&self) -> bool {
        match self.view.members.len() {
            0 => true,
            1 => !self.is_member(),
            2 if self.is_head() => self.acknowledged >= self.held_at_adoption,
            _ => true,
        }
    }
}
