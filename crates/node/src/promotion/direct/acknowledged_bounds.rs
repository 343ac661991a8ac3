//! Acknowledged bounds: the position up to which all servers of a group hold the acknowledged commits, and the nodes
//! that may have passed on later acknowledgements.
use quincehatch_core::{ChangeNumber, FencingToken, Name, Position, PrimaryAssignment};
use std::collections::BTreeMap;
use std::sync::Mutex;

/// The acknowledged bound of a group: under the primary with this fencing token, all commits acknowledged before some
/// moment are at or below `end`, and every server that may become the primary has received `end`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcknowledgedBound {
    /// The primary's fencing token.
    pub primary_fence: FencingToken,
    /// The end of the log that every server has received.
    pub end: Position,
    /// The nodes that may have passed on acknowledgements since that moment, with the incarnation of their processes.
    pub nodes: BTreeMap<Name, u64>,
    /// The latest enrollment of a process at that moment: processes that enrolled later are not among `nodes` yet.
    pub enrolled_up_to: ChangeNumber,
}

/// A node's report of the acknowledgements that it passed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcknowledgedReport {
    /// The end of the acknowledged commits that the node passed on.
    pub end: Position,
    /// The incarnation of the node's process. A restarted process does not know what the previous one passed on.
    pub incarnation: u64,
}

impl AcknowledgedBound {
    /// Returns the end of all acknowledged commits according to these reports; `None` unless every process that may
    /// have passed on an acknowledgement reported. `enrolled` are the nodes that are enrolled now, with the changes that
    /// enrolled their processes.
    pub fn acknowledged_end(
        &self,
        reports: &BTreeMap<Name, AcknowledgedReport>,
        enrolled: &BTreeMap<Name, ChangeNumber>,
    ) -> Option<Position> {
        let has_reported = |name: &Name, incarnation: u64| {
            reports.get(name).is_some_and(|report| report.incarnation == incarnation)
        };
        let has_newcomer_reported =
            |name: &Name, number: ChangeNumber| number <= self.enrolled_up_to || reports.contains_key(name);
        if !self.nodes.iter().all(|(name, incarnation)| has_reported(name, *incarnation))
            || !enrolled.iter().all(|(name, number)| has_newcomer_reported(name, *number))
        {
            return None;
        }
        let highest = reports.values().map(|report| report.end).max().unwrap_or_default();
        Some(highest.max(self.end))
    }
}

/// The acknowledged bounds by group.
#[derive(Default)]
pub struct AcknowledgedBounds(Mutex<BTreeMap<Name, AcknowledgedBound>>);

impl AcknowledgedBounds {
    /// The fencing token of the primary under which the group's bound was found.
    pub(super) fn primary_fence(&self, group: &Name) -> Option<FencingToken> {
        self.0.lock().unwrap().get(group).map(|bound| bound.primary_fence)
    }

    /// Removes the group's bound unless it was found under this assignment, or the assignment is closed.
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

    /// Adds nodes that joined since the group's bound was found.
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
