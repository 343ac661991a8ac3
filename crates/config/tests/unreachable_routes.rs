//! Checks that routes are reported as unreachable exactly if an earlier route matches all of their requests, and that a
//! stored configuration is read back unchanged.
use quincehatch_config::configuration::{Configuration, Route};
use quincehatch_runtime::rng::Rng;

const PLACEMENTS: &str = r#"[{"name":"p","select":{"group":["g"]}}]"#;
const SEEDS: u64 = 300;

fn covers(earlier: &Route, later: &Route) -> bool {
    earlier.class == later.class
        && earlier.when.iter().all(|(label, allowed)| {
            let required = later.when.get(label);
            required.is_some_and(|required| required.iter().all(|value| allowed.contains(value)))
        })
}

fn random_route(rng: &mut Rng, index: usize) -> String {
    let mut when = Vec::new();
    for label in ["db", "kind", "prefix"] {
        if rng.below(3) > 0 {
            let values: Vec<String> =
                (0..=rng.below(2)).map(|value| format!(r#""{}""#, (value + rng.below(2)) % 3)).collect();
            when.push(format!(r#""{label}":[{}]"#, values.join(",")));
        }
    }
    let class = if rng.below(2) == 0 { "order" } else { "lookup" };
    let when = when.join(",");
    format!(r#"{{"name":"r{index}","class":"{class}","placement":"p","when":{{{when}}}}}"#)
}

fn configuration_with(routes: &str) -> String {
    format!(r#"{{"placements":{PLACEMENTS},"routes":[{routes}]}}"#)
}

/// Parses one route in a configuration of its own, where no earlier route can make it unreachable.
fn parse_route(route: &str) -> Route {
    Configuration::parse(&configuration_with(route)).unwrap().routes.remove(0)
}

#[test]
fn the_reported_routes_are_those_that_a_comparison_of_every_pair_finds() {
    let (mut unreachable, mut reachable) = (0, 0);
    for seed in 0..SEEDS {
        let mut rng = Rng::new(seed);
        let count = 2 + rng.below(5) as usize;
        let routes: Vec<String> = (0..count).map(|index| random_route(&mut rng, index)).collect();
        let text = configuration_with(&routes.join(","));
        let errors = Configuration::parse(&text).map_or_else(|error| error.to_string(), |_| String::new());
        let parsed: Vec<Route> = routes.iter().map(|route| parse_route(route)).collect();
        for index in 0..count {
            let covered = parsed[..index].iter().any(|earlier| covers(earlier, &parsed[index]));
            let reported = errors.contains(&format!("routes[{index}].when: an earlier route"));
            assert_eq!(reported, covered, "seed {seed}, route {index}: {errors}\n{text}");
            if covered { unreachable += 1 } else { reachable += 1 }
        }
    }
    assert!(unreachable > 50 && reachable > 50, "{unreachable} {reachable}");
    let one_route = r#"{"name":"x","class":"order","placement":"p","when":{"db":["x"]}}"#;
    assert_eq!(Configuration::parse(&configuration_with(one_route)).unwrap().routes.len(), 1);
}

#[test]
fn a_configuration_is_unchanged_when_it_is_stored_and_read_back() {
    let text = r#"{"placements":[{"name":"p","select":{"group":["g"]}}],"routes":[{"name":"x","class":"order","placement":"p","when":{"db":["x"]}}],"groups":[{"name":"g","sync_replicas":1}]}"#;
    let configuration = Configuration::parse(text).unwrap();
    assert_eq!(Configuration::parse_stored(&configuration.to_stored_json()).unwrap(), configuration);
    let as_written = Configuration::parse_stored(text).unwrap();
    assert_eq!(as_written, configuration, "as an operator wrote it, with the defaults for the rest");
}
