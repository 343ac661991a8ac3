//! Up to where all servers of a group hold what was acknowledged, and which nodes may have acknowledged more since.
use quincehatch_core::{FencingToken, Name, Position, PrimaryAssignment};
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Under the primary of this fencing token, all that was acknowledged before some moment is at or below `end`, and
/// every server that may become the primary has received `end`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcknowledgedBound {
    /// The primary's fencing token.
    pub primary_fence: FencingToken,
    /// The end that every server has received.
    pub end: Position,
    /// The nodes that may have passed on acknowledgements since, with the incarnation of their processes.
    pub nodes: BTreeMap<Name, u64>,
}

/// What a node reports of the acknowledgements it passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcknowledgedReport {
    /// The end of what it passed on.
    pub end: Position,
    /// Its process: one that began anew has forgotten what the one before passed on.
    pub incarnation: u64,
}

impl AcknowledgedBound {
    /// The end of everything acknowledged, by these reports; none unless every process that may have passed on an
    /// acknowledgement reported.
    pub fn acknowledged_end(&self, reports: &BTreeMap<Name, AcknowledgedReport>) -> Option<Position> {
        let has_reported = |name: &Name, incarnation: u64| {
            reports.get(name).is_some_and(|report| report.incarnation == incarnation)
        };
        if !self.nodes.iter().all(|(name, incarnation)| has_reported(name, *incarnation)) {
            return None;
        }
        let highest = reports.values().map(|report| report.end).max().unwrap_or_default();
        Some(highest.max(self.end))
    }
}

/// The acknowledged bounds of groups.
#[derive(Default)]
pub struct AcknowledgedBounds(Mutex<BTreeMap<Name, AcknowledgedBound>>);

impl AcknowledgedBounds {
    /// The fencing token of the primary under which the group's bound was found.
    pub(super) fn primary_fence(&self, group: &Name) -> Option<FencingToken> {
        self.0.lock().unwrap().get(group).map(|bound| bound.primary_fence)
    }

    /// Forgets the group's bound unless it was found under this assignment, or the assignment is closed.
    pub(crate) fn retain_under(&self, group: &Name, primary: Option<&PrimaryAssignment>) {
        let holds = |bound: &AcknowledgedBound| {
            primary.is_some_and(|primary| primary.server.is_none() || primary.fence == bound.primary_fence)
        };
        self.0.lock().unwrap().retain(|name, bound| name != group || holds(bound));
    }

    pub(super) fn under(&self, group: &Name, primary_fence: FencingToken) -> Option<AcknowledgedBound> {
        let bounds = self.0.lock().unwrap();
        bounds.get(group).filter(|bound| bound.primary_fence == primary_fence).cloned()
    }

    pub(super) fn set(&self, group: &Name, bound: AcknowledgedBound) {
        self.0.lock().unwrap().insert(group.clone(), bound);
    }

    /// Adds nodes that came since the group's bound was found.
    pub(super) fn add_nodes(
        &self,
        group: &Name,
        primary_fence: FencingToken,
        incarnations: &BTreeMap<Name, u64>,
    ) {
        let mut bounds = self.0.lock().unwrap();
        let bound = bounds.get_mut(group).filter(|bound| bound.primary_fence == primary_fence);
        let Some(bound) = bound else { return };
        for (name, incarnation) in incarnations {
            bound.nodes.entry(name.clone()).or_insert(*incarnation);
        }
    }
}
