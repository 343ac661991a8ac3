//! Changes of the set of voters by an operator.
use crate::keeper::Keeper;
use crate::messages::Reply;
use crate::view::{View, Voter};
use quincehatch_core::{ErrorCode, Version};

impl Keeper {
    /// Proposes a view with these voters. Only one voter may be added or removed at a time, so that any majority of the
    /// old voters and any majority of the new voters share a voter.
    pub(super) fn change_voters(&mut self, version: Version, voters: Vec<Voter>) -> Reply {
        let old = &self.view.voters;
        let removed = old.iter().filter(|voter| !voters.contains(voter)).count();
        let added = voters.iter().filter(|voter| !old.contains(voter)).count();
        let mut members = self.view.members.clone();
        members.retain(|member| voters.iter().any(|voter| voter.name == *member));
        if version != self.view.version || removed + added != 1 || members.is_empty() {
            let detail = format!(
                "the view is at version {}; {added} voters would be added and {removed} removed",
                self.view.version
            );
            return Reply::Rejected { error: ErrorCode::MembershipChangeRejected.with_detail(detail) };
        }
        self.propose(View { version: version + 1, members, voters });
        self.redirect()
    }
}
