//! Checks of placements.
use super::validation_errors::ValidationErrors;
use crate::configuration::{Configuration, Placement};
use std::collections::BTreeSet;

pub(super) fn check(configuration: &Configuration, errors: &mut ValidationErrors) {
    if configuration.placements.is_empty() {
        errors.add("placements: at least one is needed");
    }
    let mut names = BTreeSet::new();
    for (index, placement) in configuration.placements.iter().enumerate() {
        let path = format!("placements[{index}]");
        errors.check_name(&format!("{path}.name"), &placement.name, &mut names);
        if placement.select.is_empty() {
            errors.add(format!("{path}.select: at least one label is needed"));
        }
        errors.check_selector(&format!("{path}.select"), &placement.select);
        errors.check_selector(&format!("{path}.except"), &placement.except);
        if excludes_everything(placement) {
            errors.add(format!("{path}.except: excludes everything that select chooses"));
        }
    }
}

/// True when each server that `select` matches is matched by `except` too.
fn excludes_everything(placement: &Placement) -> bool {
    if placement.except.is_empty() {
        return false;
    }
    placement.except.iter().all(|(key, excluded)| {
        let selected = placement.select.get(key);
        selected.is_some_and(|selected| selected.iter().all(|value| excluded.contains(value)))
    })
}
