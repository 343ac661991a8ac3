//! Checks of zones, and of the selectors that name them.
use super::validation_errors::{MAX_NAME_BYTES, ValidationErrors};
use crate::configuration::{Configuration, DEPRECATED_ZONE_LABEL, Selector, ZONE_LABEL, Zone};
use std::collections::BTreeSet;

/// Labels that a server can have but a zone cannot.
const SERVER_LABELS: [&str; 4] = [ZONE_LABEL, DEPRECATED_ZONE_LABEL, "group", "copies"];

pub(super) fn check(configuration: &Configuration, errors: &mut ValidationErrors) {
    let mut names = BTreeSet::new();
    for (index, zone) in configuration.zones.iter().enumerate() {
        let path = format!("zones[{index}]");
        errors.check_name(&format!("{path}.name"), &zone.name, &mut names);
        check_labels(&format!("{path}.labels"), zone, errors);
    }
}

fn check_labels(path: &str, zone: &Zone, errors: &mut ValidationErrors) {
    let allowed_bytes = 1..=MAX_NAME_BYTES;
    for (key, value) in &zone.labels {
        let selector: Selector = [(key.clone(), vec![value.clone()])].into();
        errors.check_selector(path, &selector);
        if SERVER_LABELS.contains(&key.as_str()) {
            errors.add(format!("{path}.{key}: is a server's own label, a zone cannot have it"));
        }
        if !allowed_bytes.contains(&key.len()) || !allowed_bytes.contains(&value.len()) {
            errors.add(format!("{path}.{key}: a label and its value have 1 to {MAX_NAME_BYTES} bytes"));
        }
    }
}

/// Checks the selectors that name zones. Where zones are listed, a selector can name no others. A selector contradicts
/// itself if it names zones together with a label for which each of these zones has another value.
pub(super) fn check_selectors(configuration: &Configuration, errors: &mut ValidationErrors) {
    if configuration.zones.is_empty() {
        return;
    }
    for (index, placement) in configuration.placements.iter().enumerate() {
        check_selector(configuration, &format!("placements[{index}].select"), &placement.select, errors);
    }
    for (index, route) in configuration.routes.iter().enumerate() {
        check_selector(configuration, &format!("routes[{index}].when"), &route.when, errors);
    }
}

fn check_selector(
    configuration: &Configuration,
    path: &str,
    selector: &Selector,
    errors: &mut ValidationErrors,
) {
    let label = if selector.contains_key(DEPRECATED_ZONE_LABEL) { DEPRECATED_ZONE_LABEL } else { ZONE_LABEL };
    let Some(named_zones) = selector.get(label) else {
        return;
    };
    for name in named_zones.iter().filter(|name| configuration.zone(name).is_none()) {
        errors.add(format!("{path}.{label}: {name:?} is not among the zones"));
    }
    if named_zones.is_empty() {
        return;
    }
    for (key, values) in selector {
        let contradicts = named_zones.iter().all(|name| {
            let zone_value = configuration.zone(name).and_then(|zone| zone.labels.get(key));
            zone_value.is_some_and(|value| !values.contains(value))
        });
        if contradicts {
            errors.add(format!("{path}.{key}: every zone that is named has another {key}"));
        }
    }
}
