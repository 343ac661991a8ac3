//! The commits that this node may acknowledge to clients, for each group.
//!
//! The node that chooses a new primary queries the log position up to which this node has acknowledged commits. Once it
//! was reported for a fence, this node acknowledges nothing that was sent under a lower fence, because the new primary
//! may lack it.
//!
//! During a handover the old primary still commits while the platform may promote the successor at any moment. From when
//! this node takes part in a handover, or knows of a promotion that was begun under the open assignment, it acknowledges
//! only commits that the successor has reported to hold. So every acknowledged commit is in the log of the server that
//! may lead next, also if a server that no node knows of confirmed the commit to the old primary.
use quincehatch_core::{FencingToken, Name, Position};
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// A commit that a server has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Commit {
    /// The fence of the assignment under which it was sent.
    pub fence: FencingToken,
    /// A position of the server's log at which the log includes the commit.
    pub end: Position,
}

/// Whether a commit may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// The commit may be acknowledged, and is recorded as acknowledged.
    Granted,
    /// The commit must not be acknowledged: it may be lost.
    Refused,
    /// A promotion was begun under the open assignment, and its successor is not known to hold the commit yet.
    Pending,
}

/// What a successor reports of itself during a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorReport {
    /// It is a replica whose log has received this position.
    Received(Position),
    /// It leads a new term: what it lacks of the old term is lost.
    Leads,
}

/// A handover in which this node takes part.
#[derive(Clone, Debug)]
struct Handover {
    fence: FencingToken,
    successor: Name,
    received: Position,
    successor_leads: bool,
}

impl Handover {
    /// Whether the successor's log includes the commit. Only positions of the same term are comparable: each replica's
    /// log of one term is a prefix of the primary's.
    fn includes(&self, commit: &Commit) -> bool {
        self.received.fence == commit.end.fence && self.received >= commit.end
    }
}

#[derive(Clone, Debug, Default)]
struct GroupCommits {
    /// The highest position that was acknowledged.
    end: Position,
    /// No commit that was sent under a lower fence is acknowledged any more.
    sealed_below: FencingToken,
    /// The latest handover in which this node takes part.
    handover: Option<Handover>,
}

impl GroupCommits {
    /// `newest_fence`: the newest token that the store has issued for the group, as far as this node knows.
    fn decide(&self, commit: &Commit, newest_fence: FencingToken) -> Acknowledgement {
        if commit.fence < self.sealed_below {
            return Acknowledgement::Refused;
        }
        let joined_fence = self.handover.as_ref().map_or(0, |handover| handover.fence);
        let newest_fence = newest_fence.max(joined_fence);
        if newest_fence <= commit.fence || seam::injected_bug("ungated-handover") {
            return Acknowledgement::Granted;
        }
        match self.handover.as_ref().filter(|handover| handover.fence == newest_fence) {
            Some(handover) if handover.includes(commit) => Acknowledgement::Granted,
            Some(handover) if handover.successor_leads => Acknowledgement::Refused,
            _ => Acknowledgement::Pending,
        }
    }
}

/// The acknowledged commits and the handovers of all groups.
#[derive(Debug, Default)]
pub struct AcknowledgedPositions {
    by_group: Mutex<BTreeMap<Name, GroupCommits>>,
}

impl AcknowledgedPositions {
    /// Decides whether a commit may be acknowledged, and records its position if it may. `newest_fence` is called under
    /// the lock; it returns the newest token that the store has issued for the group, or `None` if this node may
    /// acknowledge nothing that was sent under the commit's fence.
    pub fn acknowledge(
        &self,
        group: &str,
        commit: &Commit,
        newest_fence: impl FnOnce() -> Option<FencingToken>,
    ) -> Acknowledgement {
        self.with(group, |commits| {
            let decision = newest_fence()
                .map_or(Acknowledgement::Refused, |newest_fence| commits.decide(commit, newest_fence));
            let is_bug = decision == Acknowledgement::Refused && seam::injected_bug("acked-untold");
            let decision = if is_bug { Acknowledgement::Granted } else { decision };
            if decision == Acknowledgement::Granted {
                commits.end = commits.end.max(commit.end);
            }
            decision
        })
    }

    /// Takes part in a handover to `successor`: from now on only commits that it holds are acknowledged under lower
    /// fences. Returns whether the handover is new to this node.
    pub fn join_handover(&self, group: &str, fence: FencingToken, successor: &Name) -> bool {
        self.with(group, |commits| {
            if commits.handover.as_ref().is_some_and(|joined| joined.fence >= fence) {
                return false;
            }
            let (successor, received) = (successor.clone(), Position::default());
            commits.handover = Some(Handover { fence, successor, received, successor_leads: false });
            true
        })
    }

    /// Whether this node takes part in this handover.
    pub fn has_joined_handover(&self, group: &str, fence: FencingToken, successor: &Name) -> bool {
        self.with(group, |commits| {
            let joined = commits.handover.as_ref();
            joined.is_some_and(|joined| joined.fence == fence && joined.successor == *successor)
        })
    }

    /// Records what the successor of a handover reported of itself.
    pub fn record_successor(&self, group: &str, fence: FencingToken, report: SuccessorReport) {
        self.with(group, |commits| {
            let Some(handover) = commits.handover.as_mut().filter(|joined| joined.fence == fence) else {
                return;
            };
            match report {
                SuccessorReport::Received(position) => handover.received = handover.received.max(position),
                SuccessorReport::Leads => handover.successor_leads = true,
            }
        });
    }

    /// Returns the highest position that was acknowledged for the group.
    pub fn end(&self, group: &str) -> Position {
        self.by_group.lock().unwrap().get(group).map_or_else(Position::default, |commits| commits.end)
    }

    /// Returns the highest position that was acknowledged for the group. From then on, no commit that was sent under a
    /// lower fence than `fence` is acknowledged.
    pub fn seal(&self, group: &str, fence: FencingToken) -> Position {
        self.with(group, |commits| {
            commits.sealed_below = commits.sealed_below.max(fence);
            commits.end
        })
    }

    fn with<T>(&self, group: &str, access: impl FnOnce(&mut GroupCommits) -> T) -> T {
        access(self.by_group.lock().unwrap().entry(group.into()).or_default())
    }
}
