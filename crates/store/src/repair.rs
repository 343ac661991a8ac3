//! Repair of the view: silent members are left out, keepers outside the chain come in (§5.3).
use crate::keeper::{Keeper, Output};
use crate::messages::View;
use crate::terms::{PROPOSE_GAP, SILENT};
use quincehatch_core::Name;

impl Keeper {
    pub(crate) fn propose(&mut self, want: View) {
        // The others have no address of a member that does not vote.
        let all_vote = want.members.iter().all(|member| want.is_voter(member));
        if !all_vote || self.proposer.busy(self.now, PROPOSE_GAP) {
            return;
        }
        self.proposed = self.now;
        // Whatever this machine promised is a ballot to be outdone.
        self.proposer.seen(self.acceptor.promised.n);
        let base = self.view.clone();
        let actions = self.proposer.begin(self.now, &base, want);
        self.actions(actions);
    }

    /// A newer view that was accepted here but never agreed keeps the lease of the present one from being
    /// renewed; if its proposer does not see it through, whoever holds it does (§5.3).
    pub(crate) fn finish_half(&mut self) -> bool {
        let half =
            self.acceptor.accepted.as_ref().map(|(_, v)| v.clone()).filter(|v| v.version > self.view.version);
        let Some(want) = half else {
            self.half_since = None;
            return false;
        };
        let since = *self.half_since.get_or_insert(self.now);
        let rank = want.machines.iter().position(|m| m.name == self.me).unwrap_or(0) as u64;
        let wait = PROPOSE_GAP * (2 + rank);
        if self.now >= since + wait && self.now >= self.proposed + wait {
            self.propose(want);
        }
        true
    }

    /// A silent member is left out by the first member that is not; an outsider asks to come in (§5.3).
    pub(crate) fn repair_view(&mut self) {
        let now = self.now;
        if self.finish_half() {
            return;
        }
        if !self.view.has(&self.me) {
            let may = self.view.machines.iter().any(|m| m.name == self.me);
            if may && now >= self.fetched + 2 * PROPOSE_GAP {
                self.fetch_store();
            }
            return;
        }
        let silent = |k: &Keeper, m: &Name| {
            *m != k.me && k.heard.get(m).copied().unwrap_or(0).max(k.view_since) + SILENT < now
        };
        let live: Vec<Name> = self.view.members.iter().filter(|m| !silent(self, m)).cloned().collect();
        if live.len() == self.view.members.len() {
            return self.recruit();
        }
        let rank = live.iter().position(|m| *m == self.me).unwrap_or(0) as u64;
        if now < self.view_since + SILENT + rank * PROPOSE_GAP
            || now < self.proposed + PROPOSE_GAP * (2 + rank)
            || self.catching_up
        {
            return;
        }
        let want =
            View { version: self.view.version + 1, members: live, machines: self.view.machines.clone() };
        self.out.push(Output::Say(format!("mending the view to {}", want.members.join(" "))));
        self.propose(want);
    }
}
