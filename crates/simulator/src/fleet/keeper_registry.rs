//! What all keepers of a run share: where they are, and what they committed.
use super::simulation::ProcessId;
use quincehatch_core::{ChangeNumber, Millis, Name, Version};
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Violations that are kept at most.
const MAX_REPORTED: usize = 20;

/// All keepers of a run: where they are, and what they committed.
#[derive(Default)]
pub struct KeeperRegistry {
    /// The process of each keeper.
    pub process_by_name: Mutex<BTreeMap<Name, ProcessId>>,
    /// Watches over what they serve.
    pub commit_watch: Mutex<CommitWatch>,
}

/// What any keeper of a run committed, so that one that serves with less is seen (check N10).
#[derive(Default)]
pub struct CommitWatch {
    committed: ChangeNumber,
    /// What keepers were seen to do wrong.
    pub violations: Vec<String>,
}

/// How far a keeper is.
pub(super) struct Progress {
    pub(super) serving: bool,
    pub(super) last_change: ChangeNumber,
    pub(super) committed: ChangeNumber,
    pub(super) name: Name,
    pub(super) view: Version,
}

impl CommitWatch {
    pub(super) fn observe(&mut self, now: Millis, progress: &Progress) {
        let Progress { name, view, last_change, .. } = progress;
        let behind = progress.serving && *last_change < self.committed;
        if behind && self.violations.len() < MAX_REPORTED {
            let committed = self.committed;
            self.violations.push(format!(
                "N10 at {now} {name} serves view {view} at {last_change} while {committed} was committed"
            ));
        }
        self.committed = self.committed.max(progress.committed);
    }
}
