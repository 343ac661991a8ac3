//! Who votes and who is in the chain: replacement of lost voters, invitations, planned leaves (§5.3, §5.9).
//!
//! A keeper outside the view holds everything before it votes. A member that wants one in invites it; it fetches the
//! store from the tail and then proposes the view in which it has the vote and the last place of the chain, one change
//! for both.
use crate::discovery::Candidate;
use crate::keeper::{Keeper, Output};
use crate::messages::{PeerMessage, View, Voter};
use crate::terms::{PROPOSAL_INTERVAL, SILENT};
use quincehatch_core::{Millis, Name};

/// Time that a leaving keeper keeps for leaving the chain without handing its vote over. Until then it tries to: where
/// another voter is lost at the same moment, the chain is repaired and served again first (2.3 s, `terms`).
const LEAVE_RESERVE: Millis = 500;

/// A keeper that was told to stop.
#[derive(Clone, Debug)]
pub(crate) struct Leaving {
    /// It ends by then, whatever it has reached.
    until: Millis,
}

impl View {
    /// The next view, in which `newcomer` has the vote of `voter` and is the tail.
    fn with_vote_moved(&self, voter: &Name, newcomer: Voter) -> View {
        let mut next = self.next();
        next.members.retain(|m| m != voter);
        next.members.push(newcomer.name.clone());
        next.voters.iter_mut().filter(|m| m.name == *voter).for_each(|m| *m = newcomer.clone());
        next
    }
    /// The next view, with one more voter, which is the tail.
    fn with_voter(&self, newcomer: Voter) -> View {
        let mut next = self.next();
        next.members.push(newcomer.name.clone());
        next.voters.push(newcomer);
        next
    }
    /// The next view, with the voter `name` as the tail.
    fn with_member(&self, name: &Name) -> View {
        let mut next = self.next();
        next.members.push(name.clone());
        next
    }
    /// The next view, without `name` in the chain; its vote stays.
    fn without_member(&self, name: &Name) -> View {
        let mut next = self.next();
        next.members.retain(|m| m != name);
        next
    }
    fn next(&self) -> View {
        View { version: self.version + 1, ..self.clone() }
    }
}

impl Keeper {
    /// A member of a repaired chain looks for a voter that is lost, or for one more voter where the view is to have
    /// more, and invites whoever stands outside.
    pub(crate) fn invite_replacement(&mut self) {
        let Some((view, why)) = self.view_with_newcomer() else { return };
        let Some(invited) = view.members.last().cloned() else { return };
        self.outputs.push(Output::Log(why));
        self.invite(&invited, view);
    }

    fn view_with_newcomer(&self) -> Option<(View, String)> {
        let discovery = self.discovery.as_ref()?;
        let rank = self.view.members.iter().position(|m| *m == self.name)? as u64;
        let too_soon = self.now < self.last_proposal_at + PROPOSAL_INTERVAL * (2 + rank);
        if too_soon || self.now < discovery.undisturbed_since + SILENT {
            return None;
        }
        let margin = rank * PROPOSAL_INTERVAL;
        if let Some((lost, newcomer)) = self.wiped_voter(margin).or_else(|| self.lost_voter(margin)) {
            let why = format!("{} is to take the place of {lost}", newcomer.name);
            return Some((self.view.with_vote_moved(&lost, newcomer), why));
        }
        let newcomer = self.further_voter()?;
        let why = format!("{} is to come to {} machines", newcomer.name, self.view.voters.len());
        Some((self.view.with_voter(newcomer), why))
    }

    /// A silent voter at whose address another keeper runs: the disk behind its name is gone.
    fn wiped_voter(&self, margin: Millis) -> Option<(Name, Voter)> {
        let candidates = self.candidates();
        let mut silent = self.view.voters.iter().filter(|m| self.is_absent(&m.name, SILENT + margin));
        silent.find_map(|m| {
            let newcomer = candidates.iter().find(|c| c.addr == m.addr)?;
            Some((m.name.clone(), newcomer.clone()))
        })
    }

    /// A voter that has been silent for long, and anyone who may take its place.
    fn lost_voter(&self, margin: Millis) -> Option<(Name, Voter)> {
        let replace_after = self.discovery.as_ref()?.settings.replace_after;
        let lost = self.view.voters.iter().find(|m| self.is_absent(&m.name, replace_after + margin))?;
        Some((lost.name.clone(), self.candidates().into_iter().next()?))
    }

    /// One more voter where more are wanted: once all machines are in the chain, so that whoever came last holds
    /// everything before the next one does.
    fn further_voter(&self) -> Option<Voter> {
        let wanted = self.discovery.as_ref()?.settings.voter_count;
        let machines = &self.view.voters;
        let complete = machines.iter().all(|m| self.view.is_member(&m.name));
        if !complete || machines.len() >= wanted {
            return None;
        }
        self.candidates().into_iter().find(|c| !machines.iter().any(|m| m.addr == c.addr))
    }

    /// Left out of the chain, and not heard of for so long.
    fn is_absent(&self, voter: &Name, at_least: Millis) -> bool {
        let Some(discovery) = &self.discovery else { return false };
        let heard = self.last_heard.get(voter).copied().unwrap_or(0).max(discovery.undisturbed_since);
        !self.view.is_member(voter) && self.now.saturating_sub(heard) >= at_least
    }

    /// Keepers outside the view that asked for a place just now.
    fn candidates(&self) -> Vec<Voter> {
        let Some(discovery) = &self.discovery else { return Vec::new() };
        let may = |(name, c): &(&Name, &Candidate)| c.wants_place(self.now) && !self.view.is_voter(name);
        let machine = |(name, c): (&Name, &Candidate)| Voter { name: name.clone(), addr: c.addr.clone() };
        discovery.candidates.iter().filter(may).map(machine).collect()
    }

    fn invite(&mut self, newcomer: &Name, view: View) {
        self.last_proposal_at = self.now;
        let base = self.view.clone();
        self.send(newcomer, PeerMessage::Invite { base, view });
    }

    /// This keeper may have a place in the next view once it has fetched the store.
    pub(crate) fn handle_invite(&mut self, base: View, view: View) {
        self.adopt_view(base);
        let follows = view.version == self.view.version + 1;
        if !follows || self.view.is_voter(&self.name) || !view.is_voter(&self.name) || self.leaving.is_some()
        {
            return;
        }
        self.invitation = Some(view);
        if self.now >= self.last_fetch_at + PROPOSAL_INTERVAL {
            self.fetch_store();
        }
    }

    /// Asks the tail for its store, or for the next part of it.
    pub(crate) fn fetch_store(&mut self) {
        let Some(tail) = self.view.tail().cloned() else { return };
        self.request_snapshot_part(&tail);
    }

    /// The view to propose with the whole store at hand, if this keeper has a place to go to.
    pub(crate) fn take_view_to_enter(&mut self) -> Option<View> {
        if self.view.is_voter(&self.name) {
            return Some(self.view.with_member(&self.name));
        }
        self.invitation.take().filter(|view| view.version == self.view.version + 1)
    }

    /// Begins to leave; it is over within `within` at the latest (§5.9).
    pub(crate) fn begin_leave(&mut self, within: Millis) {
        if self.leaving.is_none() {
            self.leaving = Some(Leaving { until: self.now + within });
            self.outputs.push(Output::Log("leaving".into()));
            self.continue_leave();
        }
    }

    /// One step of a leave: the vote goes to one that stands outside; without one, or if that takes too long, the
    /// keeper leaves the chain and keeps its vote.
    pub(crate) fn continue_leave(&mut self) {
        let Some(leaving) = &self.leaving else { return };
        let hands_over = self.now + LEAVE_RESERVE < leaving.until;
        if self.has_left() {
            return self.hand_over_leases();
        }
        let too_soon = self.now < self.last_proposal_at + PROPOSAL_INTERVAL;
        if self.finish_accepted_view() || too_soon || !self.others_hold_everything() {
            return;
        }
        let me = self.name.clone();
        match self.candidates().into_iter().next().filter(|_| hands_over) {
            Some(newcomer) => {
                let name = newcomer.name.clone();
                let view = self.view.with_vote_moved(&me, newcomer);
                self.invite(&name, view);
            }
            None => self.propose(self.view.without_member(&me)),
        }
    }

    /// True once a leaving keeper may end: it is out of the chain, and its vote is handed over if anyone takes it.
    pub fn has_left(&self) -> bool {
        let Some(leaving) = &self.leaving else { return false };
        if self.now >= leaving.until {
            return true;
        }
        let keeps_vote = self.view.is_voter(&self.name);
        let may_hand_over = self.now + LEAVE_RESERVE < leaving.until && !self.candidates().is_empty();
        let waits = keeps_vote && may_hand_over;
        !self.view.is_member(&self.name) && !waits
    }

    /// Whatever is committed is on another member's disk too. A tail's forerunners hold all that it has; so do all
    /// members but one that is still catching up, and that is only ever the tail.
    fn others_hold_everything(&self) -> bool {
        match self.view.members.len() {
            0 => true,
            1 => !self.view.is_member(&self.name),
            2 if self.is_head() => self.acknowledged >= self.number_at_view,
            _ => true,
        }
    }
}
