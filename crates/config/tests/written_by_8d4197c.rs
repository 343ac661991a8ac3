//! Checks that the files of version 8d4197c are still read: its stored configuration, the configuration that was pushed
//! to it, and its settings files.
use quincehatch_config::configuration::{Configuration, Route};
use quincehatch_config::settings::{KeeperSettings, NodeSettings, read_file};

const PUSHED: &str = include_str!("fixtures/8d4197c/configuration.toml");
const STORED: &str = include_str!("fixtures/8d4197c/stored-configuration.json");

fn fixture(name: &str) -> String {
    format!("{}/tests/fixtures/8d4197c/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn route<'names>(configuration: &'names Configuration, name: &str) -> &'names Route {
    configuration.routes.iter().find(|route| route.name == name).unwrap()
}

/// Checks every value in the file whose key was renamed since.
fn assert_renamed_values_are_read(configuration: &Configuration) {
    let orders = route(configuration, "orders");
    assert_eq!(
        (orders.latency_target_ms, orders.long_running, orders.max_staleness_ms),
        (Some(900), false, 1_500)
    );
    let reports = route(configuration, "reports");
    assert_eq!(
        (reports.latency_target_ms, reports.long_running, reports.max_staleness_ms),
        (None, true, 900)
    );
    assert_eq!(configuration.zones.len(), 3);
    assert_eq!(configuration.zone("d1").unwrap().labels["coast"], "east");
    assert_eq!(configuration.group("g1").unwrap().connections, 48);
    let health = &configuration.health;
    assert_eq!((health.probation_after_ms, health.probation_after_max_ms), (20_000, 200_000));
    assert_eq!((health.probation_successes, health.eject_at), (4, 90));
    assert_eq!(configuration.connections.per_replica, 12);
    assert_eq!(configuration.connections.primary_lookup_percent, 30);
    assert_eq!((configuration.queue.max_waiting, configuration.queue.max_sessions), (400, 2_000));
}

#[test]
fn a_configuration_has_the_same_values_when_it_was_written_for_8d4197c() {
    assert_renamed_values_are_read(&Configuration::parse(PUSHED).unwrap());
}

#[test]
fn a_configuration_has_the_same_values_when_it_was_stored_by_8d4197c() {
    let stored = Configuration::parse_stored(STORED).unwrap();
    assert_renamed_values_are_read(&stored);
    assert_eq!(stored, Configuration::parse(PUSHED).unwrap());
}

/// Nodes of both versions may store the same push, so both must store the same bytes.
#[test]
fn a_configuration_is_stored_with_the_bytes_of_8d4197c_when_it_is_pushed_today() {
    let configuration = Configuration::parse(PUSHED).unwrap();
    assert_eq!(configuration.to_stored_json(), STORED);
    let with_current_keys = Configuration::parse(&configuration.to_json()).unwrap();
    assert_eq!(with_current_keys.to_stored_json(), STORED);
    for deprecated in ["rules", "districts", "judges", "links", "holding", "aside_at", "fresh_ms"] {
        let key = format!("\"{deprecated}\":");
        assert!(!configuration.to_json().contains(&key), "{key}");
    }
}

#[test]
fn a_node_has_the_same_settings_when_its_file_was_written_for_8d4197c() {
    let settings: NodeSettings = read_file(&fixture("node.toml")).unwrap();
    settings.validate().unwrap();
    assert_eq!((settings.name.as_str(), settings.zone.as_str()), ("n1", "d1"));
    assert_eq!(settings.client_listener, "127.0.0.1:34103");
    assert_eq!(settings.operator_listener, "127.0.0.1:34104");
    assert_eq!(settings.gossip_listener, "127.0.0.1:34105");
}

#[test]
fn a_keeper_has_the_same_settings_when_its_file_was_written_for_8d4197c() {
    let settings: KeeperSettings = read_file(&fixture("keeper.toml")).unwrap();
    settings.validate().unwrap();
    assert_eq!((settings.name.as_str(), settings.data_dir.as_str()), ("k1", "/var/lib/quincehatch/k1"));
}
