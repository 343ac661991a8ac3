//! Replacement of lost voters and addition of further voters.
//!
//! A keeper must hold the whole store before it becomes a voter. A member of the chain invites a keeper outside the
//! view; the invited keeper fetches the store from the tail and then proposes the view in which it is both a voter and
//! the tail, as one change.
use crate::keeper::{Keeper, Output};
use crate::messages::PeerMessage;
use crate::timing::{PEER_TIMEOUT, PROPOSAL_INTERVAL};
use crate::view::{View, Voter};
use quincehatch_core::{Millis, Name};

/// A lost voter and the keeper that replaces it.
struct Replacement {
    lost: Name,
    new_voter: Voter,
}

/// The view that a keeper is to be invited to propose, and the reason for the log.
struct InvitationPlan {
    view: View,
    reason: String,
}

impl Keeper {
    /// Invites a keeper outside the view to replace a lost voter, or to be an additional voter if the view has fewer
    /// than configured. Called by members of a chain in which all members are responsive.
    pub(in crate::keeper) fn invite_replacement(&mut self) {
        let Some(InvitationPlan { view, reason }) = self.plan_next_voters() else { return };
        let Some(invited) = view.members.last().cloned() else { return };
        self.outputs.push(Output::Log(reason));
        self.invite(&invited, view);
    }

    /// Invites a keeper to propose `view`, in which that keeper is a voter and the tail.
    pub(super) fn invite(&mut self, new_voter: &Name, view: View) {
        self.last_proposal_at = self.now;
        let base = self.view.clone();
        self.send(new_voter, PeerMessage::Invite { base, view });
    }

    /// Returns the keepers outside the view that may be invited.
    pub(super) fn candidates(&self) -> Vec<Voter> {
        let Some(discovery) = &self.discovery else { return Vec::new() };
        discovery.candidates(self.now).filter(|candidate| !self.view.is_voter(&candidate.name)).collect()
    }

    /// Handles an invitation to become a voter in `view`: this keeper fetches the store first.
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

    /// Requests the store, or the next part of it, from the tail.
    pub(in crate::keeper) fn fetch_store(&mut self) {
        if let Some(tail) = self.view.tail().cloned() {
            self.request_snapshot_part(&tail);
        }
    }

    /// Returns the view that this keeper may propose now that it holds the whole store, if any: a voter rejoins the
    /// chain, an invited keeper uses its invitation, which is consumed.
    pub(in crate::keeper) fn take_view_to_join(&mut self) -> Option<View> {
        if self.is_voter() {
            return Some(self.view.with_added_member(&self.name));
        }
        let next_version = self.view.version + 1;
        self.invitation.take().filter(|view| view.version == next_version)
    }

    fn plan_next_voters(&self) -> Option<InvitationPlan> {
        let discovery = self.discovery.as_ref()?;
        // Members act one after the other, in the order of the chain, so that they do not all invite at the same time.
        let rank = self.view.position(&self.name)? as u64;
        let is_too_soon = self.now < self.last_proposal_at + PROPOSAL_INTERVAL * (2 + rank);
        if is_too_soon || self.now < discovery.running_since + PEER_TIMEOUT {
            return None;
        }
        let rank_delay = rank * PROPOSAL_INTERVAL;
        let replacement =
            self.replace_wiped_voter(rank_delay).or_else(|| self.replace_lost_voter(rank_delay));
        if let Some(Replacement { lost, new_voter }) = replacement {
            let reason = format!("inviting {} to replace voter {lost}", new_voter.name);
            return Some(InvitationPlan { view: self.view.with_voter_replaced(&lost, new_voter), reason });
        }
        let new_voter = self.additional_voter()?;
        let reason = format!(
            "inviting {} as an additional voter, now {} voters",
            new_voter.name,
            self.view.voters.len()
        );
        Some(InvitationPlan { view: self.view.with_added_voter(new_voter), reason })
    }

    /// Returns the replacement of an unresponsive voter at whose address another keeper runs, which means that the disk
    /// of that voter was lost.
    fn replace_wiped_voter(&self, rank_delay: Millis) -> Option<Replacement> {
        let candidates = self.candidates();
        for voter in &self.view.voters {
            let Some(new_voter) = candidates.iter().find(|candidate| candidate.addr == voter.addr) else {
                continue;
            };
            if self.is_absent(&voter.name, PEER_TIMEOUT + rank_delay) {
                return Some(Replacement { lost: voter.name.clone(), new_voter: new_voter.clone() });
            }
        }
        None
    }

    /// Returns the replacement of a voter that has been unresponsive for `voter_replacement_delay`, by any keeper outside
    /// the view.
    fn replace_lost_voter(&self, rank_delay: Millis) -> Option<Replacement> {
        let voter_replacement_delay = self.discovery.as_ref()?.settings.voter_replacement_delay;
        let is_lost = |voter: &&Voter| self.is_absent(&voter.name, voter_replacement_delay + rank_delay);
        let lost = self.view.voters.iter().find(is_lost)?;
        let new_voter = self.candidates().into_iter().next()?;
        Some(Replacement { lost: lost.name.clone(), new_voter })
    }

    /// Returns an additional voter if the view has fewer voters than configured. Voters are added only while all
    /// existing voters are in the chain, so that each new voter holds the whole store before the next one is added.
    fn additional_voter(&self) -> Option<Voter> {
        let voter_count = self.discovery.as_ref()?.settings.voter_count;
        let voters = &self.view.voters;
        let is_complete = voters.iter().all(|voter| self.view.is_member(&voter.name));
        if !is_complete || voters.len() >= voter_count {
            return None;
        }
        let has_distinct_address =
            |candidate: &Voter| voters.iter().all(|voter| voter.addr != candidate.addr);
        self.candidates().into_iter().find(has_distinct_address)
    }

    /// Returns whether the voter is outside the chain and no message from it has arrived for at least `min_absence`.
    fn is_absent(&self, voter: &Name, min_absence: Millis) -> bool {
        let Some(discovery) = &self.discovery else { return false };
        let heard_at = self.last_heard.get(voter).copied().unwrap_or(0).max(discovery.running_since);
        !self.view.is_member(voter) && self.now.saturating_sub(heard_at) >= min_absence
    }
}
