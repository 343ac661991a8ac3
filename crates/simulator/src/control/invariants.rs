//! Invariants between the keepers, checked after every step of a run.
use quincehatch_core::{ChangeNumber, Millis, Name, Version};
use quincehatch_store::{Keeper, View};
use std::collections::BTreeMap;

/// Largest number of violations that are reported.
const MAX_REPORTED: usize = 20;

/// The state of all keepers as far as the checks need it, and the violations found.
#[derive(Debug, Default)]
pub struct Invariants {
    /// The highest committed change that any keeper has published.
    committed: ChangeNumber,
    /// The keeper that first served as the tail of each view.
    tails: BTreeMap<Version, Name>,
    views: BTreeMap<Version, View>,
    pub violations: Vec<String>,
}

impl Invariants {
    pub fn record_violation(&mut self, text: String) {
        if self.violations.len() < MAX_REPORTED {
            self.violations.push(text);
        }
    }

    /// Checks a keeper after its step.
    pub fn observe(&mut self, at: Millis, keeper: &Keeper) {
        self.check_one_view_per_version(at, keeper);
        if keeper.is_serving() {
            self.check_single_tail(at, keeper);
            self.check_serves_all_commits(at, keeper);
        }
    }

    /// Updates the highest committed change when a keeper's outputs are sent, so that its peers may learn of it.
    pub fn record_outputs(&mut self, keeper: &Keeper) {
        self.committed = self.committed.max(keeper.committed);
    }

    pub fn committed(&self) -> ChangeNumber {
        self.committed
    }

    pub fn highest_view(&self) -> Version {
        self.views.keys().next_back().copied().unwrap_or(0)
    }

    /// C9: there is only one view of each version.
    fn check_one_view_per_version(&mut self, at: Millis, keeper: &Keeper) {
        let view = &keeper.view;
        let known_view = self.views.entry(view.version).or_insert_with(|| view.clone());
        if view.version > 0 && known_view != view {
            let text = format!("C9 {} holds another view {} at {at}", keeper.name, view.version);
            self.record_violation(text);
        }
    }

    /// C7: no keeper serves as the tail once another one has served as the tail of the same or a newer view.
    fn check_single_tail(&mut self, at: Millis, keeper: &Keeper) {
        let version = keeper.view.version;
        let newer = self.tails.range(version..).find(|(_, tail)| **tail != keeper.name);
        if let Some((newer, tail)) = newer {
            let text = format!("C7 {} serves view {version} at {at}; {tail} serves {newer}", keeper.name);
            self.record_violation(text);
        }
        self.tails.entry(version).or_insert_with(|| keeper.name.clone());
    }

    /// C8: a keeper that serves has all committed changes.
    fn check_serves_all_commits(&mut self, at: Millis, keeper: &Keeper) {
        if keeper.store.last_change < self.committed {
            let (stored, committed) = (keeper.store.last_change, self.committed);
            let text =
                format!("C8 {} serves {stored} changes at {at}; {committed} were committed", keeper.name);
            self.record_violation(text);
        }
    }
}
