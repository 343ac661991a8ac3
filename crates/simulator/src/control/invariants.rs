//! What must hold between the keepers at every moment of a run.
use quincehatch_core::{ChangeNumber, Millis, Name, Version};
use quincehatch_store::{Keeper, View};
use std::collections::BTreeMap;

const MAX_REPORTED: usize = 20;

#[derive(Debug, Default)]
pub struct Invariants {
    committed: ChangeNumber,
    /// Who began to serve as the tail of each view.
    served: BTreeMap<Version, Name>,
    views: BTreeMap<Version, View>,
    pub violations: Vec<String>,
}

impl Invariants {
    pub fn record_violation(&mut self, text: String) {
        if self.violations.len() < MAX_REPORTED {
            self.violations.push(text);
        }
    }

    /// Looks at a keeper after its step.
    pub fn observe(&mut self, at: Millis, keeper: &Keeper) {
        self.check_one_view_per_version(at, keeper);
        if keeper.is_serving() {
            self.check_single_tail(at, keeper);
            self.check_serves_all_commits(at, keeper);
        }
    }

    /// A keeper's outputs leave: from now on others know what it committed.
    pub fn record_outputs(&mut self, keeper: &Keeper) {
        self.committed = self.committed.max(keeper.committed);
    }

    pub fn committed(&self) -> ChangeNumber {
        self.committed
    }

    pub fn highest_view(&self) -> Version {
        self.views.keys().next_back().copied().unwrap_or(0)
    }

    /// C9: one view an version.
    fn check_one_view_per_version(&mut self, at: Millis, keeper: &Keeper) {
        let view = &keeper.view;
        let agreed = self.views.entry(view.version).or_insert_with(|| view.clone());
        if view.version > 0 && agreed != view {
            let text = format!("C9 {} holds another view {} at {at}", keeper.name, view.version);
            self.record_violation(text);
        }
    }

    /// C7: no tail serves once the tail of a newer view has begun to.
    fn check_single_tail(&mut self, at: Millis, keeper: &Keeper) {
        let version = keeper.view.version;
        let newer = self.served.range(version..).find(|(_, tail)| **tail != keeper.name);
        if let Some((newer, tail)) = newer {
            let text = format!("C7 {} serves view {version} at {at}; {tail} serves {newer}", keeper.name);
            self.record_violation(text);
        }
        self.served.entry(version).or_insert_with(|| keeper.name.clone());
    }

    /// C8: whoever serves holds all that was committed.
    fn check_serves_all_commits(&mut self, at: Millis, keeper: &Keeper) {
        if keeper.store.last_change < self.committed {
            let (held, committed) = (keeper.store.last_change, self.committed);
            let text =
                format!("C8 {} serves {held} changes at {at}; {committed} were committed", keeper.name);
            self.record_violation(text);
        }
    }
}
