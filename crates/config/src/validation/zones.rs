//! Checks of zones, and of the selectors that name them.
use super::mistakes::{MAX_NAME_BYTES, Mistakes};
use crate::configuration::{Configuration, DEPRECATED_ZONE_LABEL, Selector, ZONE_LABEL, Zone};
use std::collections::BTreeSet;

/// Labels that only a server itself can have.
const SERVER_LABELS: [&str; 4] = [ZONE_LABEL, DEPRECATED_ZONE_LABEL, "group", "copies"];

pub(super) fn check(configuration: &Configuration, mistakes: &mut Mistakes) {
    let mut names = BTreeSet::new();
    for (index, zone) in configuration.zones.iter().enumerate() {
        let path = format!("zones[{index}]");
        mistakes.check_name(&format!("{path}.name"), &zone.name, &mut names);
        check_labels(&format!("{path}.labels"), zone, mistakes);
    }
}

fn check_labels(path: &str, zone: &Zone, mistakes: &mut Mistakes) {
    let allowed_bytes = 1..=MAX_NAME_BYTES;
    for (key, value) in &zone.labels {
        let selector: Selector = [(key.clone(), vec![value.clone()])].into();
        mistakes.check_selector(path, &selector);
        if SERVER_LABELS.contains(&key.as_str()) {
            mistakes.add(format!("{path}.{key}: is a server's own label, a zone cannot have it"));
        }
        if !allowed_bytes.contains(&key.len()) || !allowed_bytes.contains(&value.len()) {
            mistakes.add(format!("{path}.{key}: a label and its value have 1 to {MAX_NAME_BYTES} bytes"));
        }
    }
}

/// Where zones are listed, a selector can name no other; and one that names zones together with a label that each of
/// them has with another value contradicts itself.
pub(super) fn check_selectors(configuration: &Configuration, mistakes: &mut Mistakes) {
    if configuration.zones.is_empty() {
        return;
    }
    for (index, placement) in configuration.placements.iter().enumerate() {
        check_selector(configuration, &format!("placements[{index}].select"), &placement.select, mistakes);
    }
    for (index, route) in configuration.routes.iter().enumerate() {
        check_selector(configuration, &format!("routes[{index}].when"), &route.when, mistakes);
    }
}

fn check_selector(configuration: &Configuration, path: &str, selector: &Selector, mistakes: &mut Mistakes) {
    let label = if selector.contains_key(DEPRECATED_ZONE_LABEL) { DEPRECATED_ZONE_LABEL } else { ZONE_LABEL };
    let Some(named_zones) = selector.get(label) else {
        return;
    };
    for name in named_zones.iter().filter(|name| configuration.zone(name).is_none()) {
        mistakes.add(format!("{path}.{label}: {name:?} is not among the zones"));
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
            mistakes.add(format!("{path}.{key}: every zone that is named has another {key}"));
        }
    }
}
