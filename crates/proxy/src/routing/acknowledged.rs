//! The commits that this node may acknowledge to clients, for each group.
//!
//! The node that chooses a new primary queries what this node has acknowledged. Once that was reported for a fence, this
//! node acknowledges nothing that was sent under a lower fence, because the new primary may lack it.
//!
//! A primary counts every replica that receives its commits, also one that no node has heard of yet. So there are times at
//! which its confirmation is not enough, and a commit is acknowledged only with further evidence:
//! - From when this node takes part in a handover, or knows of a promotion that was begun under the open assignment, the
//!   old primary still commits while the platform may promote the successor at any moment: the successor must have
//!   reported to hold the commit.
//! - While the renewal of its lease is overdue, this node may be cut off together with the primary, and can then report to
//!   nobody: a replica that the store knows must have reported to hold the commit. A promotion suspends these replicas.
use crate::routing::commit_evidence::{
    AcknowledgedRange, Acknowledgement, Commit, Handover, Knowledge, PendingEvidence, SuccessorReport,
};
use quincehatch_core::{FencingToken, Name, Position};
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::Mutex;

#[derive(Clone, Debug, Default)]
struct GroupCommits {
    acknowledged: AcknowledgedRange,
    /// The highest observed end of the log of a primary.
    observed: Position,
    /// The highest position that a known replica has reported to hold.
    replicated: Position,
    /// No commit that was sent under a lower fence is acknowledged any more.
    sealed_below: FencingToken,
    /// The latest handover in which this node takes part.
    handover: Option<Handover>,
    /// The evidence that a commit waits for.
    awaited: Option<PendingEvidence>,
}

impl GroupCommits {
    fn decide(&mut self, commit: &Commit, knowledge: Knowledge) -> Acknowledgement {
        if commit.fence < self.sealed_below {
            return Acknowledgement::Refused;
        }
        let joined_fence = self.handover.as_ref().map_or(0, |handover| handover.fence);
        let newest_fence = knowledge.newest_fence.max(joined_fence);
        if newest_fence > commit.fence {
            return self.decide_by_successor(commit, newest_fence);
        }
        if !knowledge.is_current && !commit.is_included_in(self.replicated) {
            self.awaited = Some(PendingEvidence::Replicas);
            return Acknowledgement::Pending;
        }
        Acknowledgement::Granted
    }

    fn decide_by_successor(&mut self, commit: &Commit, newest_fence: FencingToken) -> Acknowledgement {
        let joined = self.handover.as_ref().filter(|handover| handover.fence == newest_fence);
        // Without a part in the promotion the node does not know the successor, and waits for the close.
        let Some(handover) = joined else { return Acknowledgement::Pending };
        if commit.is_included_in(handover.received) {
            return Acknowledgement::Granted;
        }
        if handover.successor_leads {
            return Acknowledgement::Refused;
        }
        let (fence, successor) = (handover.fence, handover.successor.clone());
        self.awaited = Some(PendingEvidence::Successor { fence, successor });
        Acknowledgement::Pending
    }
}

/// The acknowledged commits and the handovers of all groups.
#[derive(Debug, Default)]
pub struct AcknowledgedPositions {
    by_group: Mutex<BTreeMap<Name, GroupCommits>>,
}

impl AcknowledgedPositions {
    /// Decides whether a commit may be acknowledged, and records its position if it may. `knowledge` is called under the
    /// lock; it returns `None` if this node may acknowledge nothing that was sent under the commit's fence.
    pub fn acknowledge(
        &self,
        group: &str,
        commit: &Commit,
        knowledge: impl FnOnce() -> Option<Knowledge>,
    ) -> Acknowledgement {
        self.with(group, |commits| {
            let decision = match knowledge() {
                Some(knowledge) => commits.decide(commit, knowledge),
                None => Acknowledgement::Refused,
            };
            let is_bug = match decision {
                Acknowledgement::Granted => false,
                Acknowledgement::Refused => seam::injected_bug("acked-untold"),
                Acknowledgement::Pending => seam::injected_bug("unproven-commit"),
            };
            let decision = if is_bug { Acknowledgement::Granted } else { decision };
            if decision == Acknowledgement::Granted {
                commits.acknowledged.add(commit);
            }
            decision
        })
    }

    /// Takes part in a handover to `successor`: from now on only commits that it holds are acknowledged under lower
    /// fences. Returns whether this node takes part; it does not if it takes part in a later one.
    pub fn join_handover(&self, group: &str, fence: FencingToken, successor: &Name) -> bool {
        self.with(group, |commits| {
            if commits.handover.as_ref().is_none_or(|joined| joined.fence < fence) {
                commits.handover = Some(Handover::new(fence, successor));
            }
            let joined = commits.handover.as_ref();
            joined.is_some_and(|joined| joined.fence == fence && joined.successor == *successor)
        })
    }

    /// Records what the successor of a handover reported of itself.
    pub fn record_successor(&self, group: &str, fence: FencingToken, report: SuccessorReport) {
        self.with(group, |commits| {
            if let Some(handover) = commits.handover.as_mut().filter(|joined| joined.fence == fence) {
                handover.record(report);
            }
        });
    }

    /// Records the end of the log that a replica known to the store has received.
    pub fn record_replica(&self, group: &str, received: Position) {
        self.with(group, |commits| commits.replicated = commits.replicated.max(received));
    }

    /// Returns the groups of which commits wait for evidence, with that evidence, and forgets that they wait.
    pub fn take_awaited(&self) -> Vec<(Name, PendingEvidence)> {
        let mut by_group = self.by_group.lock().unwrap();
        let awaited = |(group, commits): (&Name, &mut GroupCommits)| {
            commits.awaited.take().map(|evidence| (group.clone(), evidence))
        };
        by_group.iter_mut().filter_map(awaited).collect()
    }

    /// Records the end of the log that the group's primary reported.
    pub fn observe(&self, group: &str, position: Position) {
        self.with(group, |commits| commits.observed = commits.observed.max(position));
    }

    /// Returns the highest end of the log that a primary of the group has reported.
    pub fn observed(&self, group: &str) -> Position {
        self.by_group.lock().unwrap().get(group).map_or_else(Position::default, |commits| commits.observed)
    }

    /// Returns what was acknowledged of the group's commits. From then on, no commit that was sent under a lower fence than
    /// `fence` is acknowledged.
    pub fn seal(&self, group: &str, fence: FencingToken) -> AcknowledgedRange {
        self.with(group, |commits| {
            commits.sealed_below = commits.sealed_below.max(fence);
            commits.acknowledged
        })
    }

    fn with<T>(&self, group: &str, access: impl FnOnce(&mut GroupCommits) -> T) -> T {
        access(self.by_group.lock().unwrap().entry(group.into()).or_default())
    }
}
