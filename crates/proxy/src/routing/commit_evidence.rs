//! Commits that a primary has confirmed, and the evidence with which they may be acknowledged.
use quincehatch_core::{FencingToken, Name, Position};

/// A commit that its primary has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Commit {
    /// The fence of the assignment under which it was sent.
    pub fence: FencingToken,
    /// A position of the primary's log at which the log includes the commit. It may include later commits too, which the
    /// primary has not confirmed.
    pub end: Position,
    /// The end of the primary's log as observed before the commit was sent: the commit is behind it.
    pub after: Position,
}

impl Commit {
    /// Whether a log that reaches `received` includes the commit. Only positions of the same term are comparable: each
    /// replica's log of one term is a prefix of the primary's.
    pub fn is_included_in(&self, received: Position) -> bool {
        received.fence == self.end.fence && received >= self.end
    }

    /// Returns a position that the commit's own is not below.
    fn lowest_position(&self) -> Position {
        if self.after.fence == self.end.fence && self.after < self.end {
            return Position { fence: self.after.fence, number: self.after.number + 1 };
        }
        self.after.min(self.end)
    }
}

/// Whether a commit may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acknowledgement {
    /// The commit may be acknowledged, and is recorded as acknowledged.
    Granted,
    /// The commit must not be acknowledged: it may be lost.
    Refused,
    /// The commit must not be acknowledged before there is evidence that it cannot be lost.
    Pending,
}

/// What a node knows of promotions when it decides whether to acknowledge a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Knowledge {
    /// The newest token that the store has issued for the group; 0 if it is not above that of the assignment.
    pub newest_fence: FencingToken,
    /// Whether the node's lease is renewed as expected, so that it hears of promotions.
    pub is_current: bool,
}

/// The evidence that a commit waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PendingEvidence {
    /// The successor of a handover holds the commit.
    Successor {
        /// The fencing token of the handover.
        fence: FencingToken,
        /// The successor.
        successor: Name,
    },
    /// A replica that the store knows holds the commit.
    Replicas,
}

/// What a successor reports of itself during a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorReport {
    /// Its log has received this position.
    Received(Position),
    /// It leads a new term: what it lacks of the old term is lost.
    Leads,
}

/// A handover in which a node takes part.
#[derive(Clone, Debug)]
pub(super) struct Handover {
    pub fence: FencingToken,
    pub successor: Name,
    /// The highest position that the successor has reported to hold.
    pub received: Position,
    /// Whether the successor has reported that it leads.
    pub successor_leads: bool,
}

impl Handover {
    pub fn new(fence: FencingToken, successor: &Name) -> Handover {
        let (successor, received) = (successor.clone(), Position::default());
        Handover { fence, successor, received, successor_leads: false }
    }

    pub fn record(&mut self, report: SuccessorReport) {
        match report {
            SuccessorReport::Received(position) => self.received = self.received.max(position),
            SuccessorReport::Leads => self.successor_leads = true,
        }
    }
}

/// What a node has acknowledged of a group's commits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcknowledgedRange {
    /// No acknowledged commit is beyond this position.
    pub end: Position,
    /// Some acknowledged commit is at this position or beyond it.
    pub at_least: Position,
}

impl AcknowledgedRange {
    pub(super) fn add(&mut self, commit: &Commit) {
        self.end = self.end.max(commit.end);
        self.at_least = self.at_least.max(commit.lowest_position());
    }
}
