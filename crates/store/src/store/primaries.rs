//! Assignment of primaries to groups, guarded by fencing tokens.
use crate::command::Answer;
use crate::store::{IssuedFence, Store};
use quincehatch_core::{Error, ErrorCode, FencingToken, Name, PrimaryAssignment};
use quincehatch_runtime::seam::injected_bug;

/// Returns the key of the singleton role that assigns a group's primary. The key is part of the data on disk.
pub fn promotion_role_key(group: &str) -> Name {
    Name::from(format!("lead/{group}"))
}

impl Store {
    /// Issues the next fencing token of a singleton role.
    pub(super) fn advance_fence(&mut self, duty: &Name, holder: &Name) -> Answer {
        let fence = self.fence(duty) + 1;
        self.fences.insert(duty.clone(), IssuedFence { fence, holder: holder.clone() });
        Answer::Fence(fence)
    }

    /// Assigns a primary if the assignment has the newest fencing token of the group's role.
    pub(super) fn assign_primary(&mut self, group: &Name, primary: &PrimaryAssignment) -> Answer {
        if let Err(error) = self.check_assignment(group, primary) {
            return Answer::Rejected(error);
        }
        let mut primary = with_current_voter_sets(self.primaries.get(group), primary);
        // Servers may have departed since the promotion was planned.
        self.replace_departed_servers(group, &mut primary);
        self.primaries.insert(group.clone(), primary.clone());
        Answer::Primary(primary)
    }

    /// Rejects an assignment if a newer token was issued or used, or if another server was assigned under the same
    /// token: a primary that was closed is never opened again under its token.
    fn check_assignment(&self, group: &Name, primary: &PrimaryAssignment) -> Result<(), Error> {
        let newest = self.fence(&promotion_role_key(group));
        if primary.fence < newest {
            let detail = format!("{} is under {newest}", primary.fence);
            return Err(ErrorCode::StaleFence.with_detail(detail));
        }
        let Some(current) = self.primaries.get(group) else { return Ok(()) };
        if current.fence > primary.fence {
            return Err(ErrorCode::StaleFence.without_detail());
        }
        let has_assigned_server = current.fence == primary.fence && current.server.is_some();
        if has_assigned_server && current.server != primary.server {
            return Err(ErrorCode::StaleFence.with_detail("this fence has named another server"));
        }
        Ok(())
    }

    /// Drops the previous voter sets of the primary that was assigned under `fence`. The caller has verified that the
    /// entire log is on two servers of the newest set.
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

/// Returns the assignment together with the voter sets of the current one, which stay valid. An assignment can only add
/// a voter set; one without voters leaves the sets unchanged.
fn with_current_voter_sets(
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
