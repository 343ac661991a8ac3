//! The primaries of groups, and the fencing tokens under which they are assigned.
use crate::command::Answer;
use crate::store::{IssuedFence, Store};
use quincehatch_core::{Error, ErrorCode, FencingToken, Name, PrimaryAssignment};
use quincehatch_runtime::seam::injected_bug;

/// Key of the singleton role that assigns a group's primary. It is part of the data on disk.
pub fn promotion_duty_key(group: &str) -> Name {
    Name::from(format!("lead/{group}"))
}

impl Store {
    /// Issues the next fencing token of a singleton role.
    pub(super) fn advance_fence(&mut self, duty: &Name, holder: &Name) -> Answer {
        let fence = self.fence(duty) + 1;
        self.fences.insert(duty.clone(), IssuedFence { fence, holder: holder.clone() });
        Answer::Fence(fence)
    }

    /// Assigns a primary, under the newest fencing token of the group's role alone.
    pub(super) fn assign_primary(&mut self, group: &Name, primary: &PrimaryAssignment) -> Answer {
        if let Err(error) = self.check_assignment(group, primary) {
            return Answer::Rejected(error);
        }
        let mut primary = with_earlier_voters(self.primaries.get(group), primary);
        // A promotion was planned before its servers departed, perhaps.
        self.rename_departed(group, &mut primary);
        self.primaries.insert(group.clone(), primary.clone());
        Answer::Primary(primary)
    }

    /// An assignment is rejected if a newer token was issued or used, or if its own token has named another server: a
    /// primary that was closed is never opened again under its token.
    fn check_assignment(&self, group: &Name, primary: &PrimaryAssignment) -> Result<(), Error> {
        let newest = self.fence(&promotion_duty_key(group));
        if primary.fence < newest {
            let detail = format!("{} is under {newest}", primary.fence);
            return Err(ErrorCode::StaleFence.with_detail(detail));
        }
        let Some(current) = self.primaries.get(group) else { return Ok(()) };
        if current.fence > primary.fence {
            return Err(ErrorCode::StaleFence.without_detail());
        }
        let has_named_a_server = current.fence == primary.fence && current.server.is_some();
        if has_named_a_server && current.server != primary.server {
            return Err(ErrorCode::StaleFence.with_detail("this fence has named another server"));
        }
        Ok(())
    }

    /// Drops the earlier voter sets of the primary that was assigned under the token: its entire log is on two servers
    /// of the newest set.
    pub(super) fn drop_previous_voters(&mut self, group: &Name, fence: FencingToken) -> Answer {
        match self.primaries.get_mut(group) {
            Some(primary) if primary.fence == fence && primary.server.is_some() => {
                primary.previous_voters.clear();
                Answer::Primary(primary.clone())
            }
            _ => Answer::Rejected(ErrorCode::StaleFence.with_detail("no primary is assigned under it")),
        }
    }
}

/// The assignment with all voter sets that are valid beside its own. A writer can only add a set: an assignment without
/// voters leaves the sets as they are.
fn with_earlier_voters(
    current: Option<&PrimaryAssignment>,
    primary: &PrimaryAssignment,
) -> PrimaryAssignment {
    let mut sets = current.map_or_else(Vec::new, PrimaryAssignment::voter_sets);
    if !primary.voters.is_empty() {
        sets.retain(|set| *set != primary.voters && !injected_bug("old-list"));
        sets.push(primary.voters.clone());
    }
    let voters = sets.pop().unwrap_or_default();
    PrimaryAssignment { voters, previous_voters: sets, ..primary.clone() }
}
