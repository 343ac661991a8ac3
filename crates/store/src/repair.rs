//! Repair of the view: silent members are left out, keepers outside the chain come in (§5.3).
use crate::keeper::{Keeper, Output};
use crate::messages::View;
use crate::terms::{PROPOSAL_INTERVAL, SILENT};
use quincehatch_core::Name;

impl Keeper {
    pub(crate) fn propose(&mut self, want: View) {
        // The others have no address of a member that does not vote.
        let all_vote = want.members.iter().all(|member| want.is_voter(member));
        if !all_vote || self.proposer.is_busy(self.now, PROPOSAL_INTERVAL) {
            return;
        }
        self.last_proposal_at = self.now;
        // Whatever this machine promised is a ballot to be outdone.
        self.proposer.observe_ballot(self.acceptor.promised.number);
        let base = self.view.clone();
        let actions = self.proposer.begin(self.now, &base, want);
        self.perform(actions);
    }

    /// A newer view that was accepted here but never agreed keeps the lease of the present one from being
    /// renewed; if its proposer does not see it through, whoever holds it does (§5.3).
    pub(crate) fn finish_accepted_view(&mut self) -> bool {
        let half =
            self.acceptor.accepted.as_ref().map(|(_, v)| v.clone()).filter(|v| v.version > self.view.version);
        let Some(want) = half else {
            self.unfinished_view_since = None;
            return false;
        };
        let since = *self.unfinished_view_since.get_or_insert(self.now);
        let rank = want.voters.iter().position(|m| m.name == self.name).unwrap_or(0) as u64;
        let wait = PROPOSAL_INTERVAL * (2 + rank);
        if self.now >= since + wait && self.now >= self.last_proposal_at + wait {
            self.propose(want);
        }
        true
    }

    /// A silent member is left out by the first member that is not; an outsider asks to come in (§5.3).
    pub(crate) fn repair_view(&mut self) {
        let now = self.now;
        if self.finish_accepted_view() {
            return;
        }
        if !self.view.is_member(&self.name) {
            let may = self.view.voters.iter().any(|m| m.name == self.name);
            if may && now >= self.last_fetch_at + 2 * PROPOSAL_INTERVAL {
                self.fetch_store();
            }
            return;
        }
        let silent = |k: &Keeper, m: &Name| {
            *m != k.name && k.last_heard.get(m).copied().unwrap_or(0).max(k.view_adopted_at) + SILENT < now
        };
        let live: Vec<Name> = self.view.members.iter().filter(|m| !silent(self, m)).cloned().collect();
        if live.len() == self.view.members.len() {
            return self.invite_replacement();
        }
        let rank = live.iter().position(|m| *m == self.name).unwrap_or(0) as u64;
        if now < self.view_adopted_at + SILENT + rank * PROPOSAL_INTERVAL
            || now < self.last_proposal_at + PROPOSAL_INTERVAL * (2 + rank)
            || self.catching_up
        {
            return;
        }
        let want = View { version: self.view.version + 1, members: live, voters: self.view.voters.clone() };
        self.outputs.push(Output::Log(format!("mending the view to {}", want.members.join(" "))));
        self.propose(want);
    }
}
