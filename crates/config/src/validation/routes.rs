//! Checks of routes.
use super::unreachable_routes::EarlierRoutes;
use super::validation_errors::ValidationErrors;
use crate::configuration::{Configuration, LOOKUP_CLASS, ORDER_CLASS, Placement, Route};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

const TIMEOUT_MS: RangeInclusive<u64> = 50..=60_000;
const MAX_STALENESS_MS: RangeInclusive<u64> = 500..=1_500;
pub(super) const QUERY_TIMEOUT_MS: RangeInclusive<u64> = 100..=600_000;

pub(super) fn check(configuration: &Configuration, errors: &mut ValidationErrors) {
    let mut names = BTreeSet::new();
    let mut earlier = EarlierRoutes::default();
    for (index, route) in configuration.routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        errors.check_name(&format!("{path}.name"), &route.name, &mut names);
        errors.check_selector(&format!("{path}.when"), &route.when);
        if ![ORDER_CLASS, LOOKUP_CLASS].contains(&route.class.as_str()) {
            errors.add(format!("{path}.class: {:?} is neither \"order\" nor \"lookup\"", route.class));
        }
        check_placement(configuration, &path, route, errors);
        check_times(configuration, &path, route, errors);
        if route.long_running && route.class == ORDER_CLASS {
            errors.add(format!("{path}.long_running: only a lookup can be long-running"));
        }
        if earlier.cover(&configuration.routes, route) {
            errors.add(format!("{path}.when: an earlier route takes all of these requests"));
        }
        earlier.add(index, route);
    }
}

fn check_placement(configuration: &Configuration, path: &str, route: &Route, errors: &mut ValidationErrors) {
    match configuration.placement(&route.placement) {
        None => errors.add(format!("{path}.placement: no placement is named {:?}", route.placement)),
        // Orders go to one primary, so to one group.
        Some(placement) if route.class == ORDER_CLASS && !selects_one_group(placement) => {
            errors.add(format!("{path}.placement: orders need a placement that selects exactly one group"));
        }
        Some(_) => {}
    }
}

fn selects_one_group(placement: &Placement) -> bool {
    placement.select.get("group").is_some_and(|groups| groups.len() == 1)
}

fn check_times(configuration: &Configuration, path: &str, route: &Route, errors: &mut ValidationErrors) {
    let query_timeout_ms = route.query_timeout_ms.unwrap_or(configuration.health.query_timeout_ms);
    errors.check_range(&format!("{path}.timeout_ms"), route.timeout_ms, TIMEOUT_MS);
    errors.check_range(&format!("{path}.max_staleness_ms"), route.max_staleness_ms, MAX_STALENESS_MS);
    errors.check_range(&format!("{path}.query_timeout_ms"), query_timeout_ms, QUERY_TIMEOUT_MS);
    if route.query_timeout_ms.is_some_and(|own_timeout_ms| own_timeout_ms < route.timeout_ms) {
        errors.add(format!("{path}.query_timeout_ms: is shorter than the route's timeout_ms"));
    }
}
