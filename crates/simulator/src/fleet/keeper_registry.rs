//! The state that all keepers of a run share: their processes, and the highest committed change.
use super::simulation::ProcessId;
use quincehatch_core::{ChangeNumber, Millis, Name, Version};
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Largest number of violations that are reported.
const MAX_REPORTED: usize = 20;

/// The keepers of a run: their processes, and what they committed.
#[derive(Default)]
pub struct KeeperRegistry {
    /// The process of each keeper.
    pub process_by_name: Mutex<BTreeMap<Name, ProcessId>>,
    /// Checks that a keeper that serves has all committed changes.
    pub commit_watch: Mutex<CommitWatch>,
}

/// The highest change that any keeper has committed; a keeper that serves without it violates check N10.
#[derive(Default)]
pub struct CommitWatch {
    committed: ChangeNumber,
    /// Violations of check N10.
    pub violations: Vec<String>,
}

/// The state of a keeper after a step, as far as the check needs it.
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
