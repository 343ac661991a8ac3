//! Detection of unreachable routes: an earlier route matches all of their requests.
//!
//! Configurations have thousands of routes, so earlier ones are looked up by a label: comparing each route with every
//! other would take too long.
use crate::configuration::Route;
use std::collections::HashMap;

/// A class of requests and one label with its value.
#[derive(PartialEq, Eq, Hash)]
struct RouteKey<'routes> {
    class: &'routes str,
    label: &'routes str,
    value: &'routes str,
}

/// The routes before the one that is checked, by their positions in the configuration.
#[derive(Default)]
pub(super) struct EarlierRoutes<'routes> {
    /// Positions by class and by each value of the first label that the route requires.
    by_first_label: HashMap<RouteKey<'routes>, Vec<usize>>,
    /// Positions of the routes that require no label, and so match every request of their class.
    without_labels: Vec<usize>,
}

impl<'routes> EarlierRoutes<'routes> {
    pub(super) fn add(&mut self, index: usize, route: &'routes Route) {
        let Some((label, values)) = route.when.iter().next() else {
            self.without_labels.push(index);
            return;
        };
        for value in values {
            let key = RouteKey { class: &route.class, label, value };
            self.by_first_label.entry(key).or_default().push(index);
        }
    }

    /// True when one of the earlier routes matches all requests of `route`.
    ///
    /// A route that covers another lists, for each of its own labels, every value that the other accepts. So its
    /// first label is among the other's labels, and the other's first value for that label is among its own.
    pub(super) fn cover(&self, routes: &[Route], route: &'routes Route) -> bool {
        let covers_route = |index: &usize| covers(&routes[*index], route);
        if self.without_labels.iter().any(covers_route) {
            return true;
        }
        route.when.iter().any(|(label, values)| {
            let Some(value) = values.first() else {
                return false;
            };
            let key = RouteKey { class: &route.class, label, value };
            let candidates = self.by_first_label.get(&key);
            candidates.is_some_and(|candidates| candidates.iter().any(covers_route))
        })
    }
}

fn covers(earlier: &Route, later: &Route) -> bool {
    earlier.class == later.class
        && earlier.when.iter().all(|(label, allowed)| {
            let required = later.when.get(label);
            required.is_some_and(|required| required.iter().all(|value| allowed.contains(value)))
        })
}
