//! Replacement of lost voters and addition of further ones.
//!
//! A keeper outside the view holds the whole store before it votes. A member that wants it as a voter invites it; it
//! fetches the store from the tail and then proposes the view in which it has the vote and the last place of the chain,
//! one change for both.
use crate::keeper::{Keeper, Output};
use crate::messages::PeerMessage;
use crate::timing::{PEER_TIMEOUT, PROPOSAL_INTERVAL};
use crate::view::{View, Voter};
use quincehatch_core::{Millis, Name};

/// A voter that has lost its vote, and who is to have it.
struct Replacement {
    lost: Name,
    newcomer: Voter,
}

/// The view that a keeper is invited to propose, and why.
struct Plan {
    view: View,
    reason: String,
}

impl Keeper {
    /// A member of a repaired chain looks for a lost voter, or for one more voter if the view is to have more, and
    /// invites a keeper from outside.
    pub(in crate::keeper) fn invite_replacement(&mut self) {
        let Some(Plan { view, reason }) = self.plan_next_voters() else { return };
        let Some(invited) = view.members.last().cloned() else { return };
        self.outputs.push(Output::Log(reason));
        self.invite(&invited, view);
    }

    /// Invites a keeper to propose `view`, in which it is a voter and the tail.
    pub(super) fn invite(&mut self, newcomer: &Name, view: View) {
        self.last_proposal_at = self.now;
        let base = self.view.clone();
        self.send(newcomer, PeerMessage::Invite { base, view });
    }

    /// Keepers outside the view that may be invited.
    pub(super) fn candidates(&self) -> Vec<Voter> {
        let Some(discovery) = &self.discovery else { return Vec::new() };
        discovery.candidates(self.now).filter(|candidate| !self.view.is_voter(&candidate.name)).collect()
    }

    /// This keeper may become a voter in `view` once it holds the store.
    pub(in crate::keeper) fn handle_invite(&mut self, base: View, view: View) {
        self.adopt_view(base);
        let is_next = view.version == self.view.version + 1;
        let gains_vote = !self.is_voter() && view.is_voter(&self.name);
        if !is_next || !gains_vote || self.leaving.is_some() {
            return;
        }
        self.invitation = Some(view);
        if self.now >= self.last_fetch_at + PROPOSAL_INTERVAL {
            self.fetch_store();
        }
    }

    /// Asks the tail for the store, or for the next part of it.
    pub(in crate::keeper) fn fetch_store(&mut self) {
        if let Some(tail) = self.view.tail().cloned() {
            self.request_snapshot_part(&tail);
        }
    }

    /// The view that this keeper may propose now that it holds the whole store: a voter returns to the chain, an invited
    /// keeper takes up its invitation.
    pub(in crate::keeper) fn take_view_to_enter(&mut self) -> Option<View> {
        if self.is_voter() {
            return Some(self.view.with_member(&self.name));
        }
        let next_version = self.view.version + 1;
        self.invitation.take().filter(|view| view.version == next_version)
    }

    fn plan_next_voters(&self) -> Option<Plan> {
        let discovery = self.discovery.as_ref()?;
        // Members act one after the other, in the order of the chain, so that they do not all invite at once.
        let rank = self.view.position(&self.name)? as u64;
        let is_too_soon = self.now < self.last_proposal_at + PROPOSAL_INTERVAL * (2 + rank);
        if is_too_soon || self.now < discovery.undisturbed_since + PEER_TIMEOUT {
            return None;
        }
        let margin = rank * PROPOSAL_INTERVAL;
        let replacement = self.replace_wiped_voter(margin).or_else(|| self.replace_lost_voter(margin));
        if let Some(Replacement { lost, newcomer }) = replacement {
            let reason = format!("{} is to take the place of {lost}", newcomer.name);
            return Some(Plan { view: self.view.with_vote_moved(&lost, newcomer), reason });
        }
        let newcomer = self.additional_voter()?;
        let reason = format!("{} is to join {} voters", newcomer.name, self.view.voters.len());
        Some(Plan { view: self.view.with_voter(newcomer), reason })
    }

    /// An unresponsive voter at whose address another keeper runs: the disk that belongs to its name is gone.
    fn replace_wiped_voter(&self, margin: Millis) -> Option<Replacement> {
        let candidates = self.candidates();
        for voter in &self.view.voters {
            let Some(newcomer) = candidates.iter().find(|candidate| candidate.addr == voter.addr) else {
                continue;
            };
            if self.is_absent(&voter.name, PEER_TIMEOUT + margin) {
                return Some(Replacement { lost: voter.name.clone(), newcomer: newcomer.clone() });
            }
        }
        None
    }

    /// A voter that has not been heard from for long, and any keeper that may replace it.
    fn replace_lost_voter(&self, margin: Millis) -> Option<Replacement> {
        let replace_after = self.discovery.as_ref()?.settings.replace_after;
        let is_lost = |voter: &&Voter| self.is_absent(&voter.name, replace_after + margin);
        let lost = self.view.voters.iter().find(is_lost)?;
        let newcomer = self.candidates().into_iter().next()?;
        Some(Replacement { lost: lost.name.clone(), newcomer })
    }

    /// One more voter if more are wanted. Only while all voters are in the chain, so that each newcomer holds the whole
    /// store before the next one comes.
    fn additional_voter(&self) -> Option<Voter> {
        let voter_count = self.discovery.as_ref()?.settings.voter_count;
        let voters = &self.view.voters;
        let is_complete = voters.iter().all(|voter| self.view.is_member(&voter.name));
        if !is_complete || voters.len() >= voter_count {
            return None;
        }
        let has_own_address = |candidate: &Voter| voters.iter().all(|voter| voter.addr != candidate.addr);
        self.candidates().into_iter().find(has_own_address)
    }

    /// Was the voter removed from the chain, and not heard from for that long?
    fn is_absent(&self, voter: &Name, at_least: Millis) -> bool {
        let Some(discovery) = &self.discovery else { return false };
        let heard_at = self.last_heard.get(voter).copied().unwrap_or(0).max(discovery.undisturbed_since);
        !self.view.is_member(voter) && self.now.saturating_sub(heard_at) >= at_least
    }
}
