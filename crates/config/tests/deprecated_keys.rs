//! Checks that every key of version 8d4197c is still read, and that one notice names each of them once.
use quincehatch_config::configuration::Configuration;
use quincehatch_config::deprecated_keys::{
    rename_in_configuration, rename_in_keeper_settings, rename_in_node_settings, renamed_node_flag,
};
use quincehatch_config::settings::{KeeperSettings, NodeSettings, read_file};
use quincehatch_core::{ErrorCode, Labels};
use serde_json::{Value, json};

/// A configuration with every renamed key, none of them with its default value.
const DEPRECATED_CONFIGURATION: &str = r#"
placements = [{ name = "p", select = { group = ["g"], district = ["d1"] }, except = { district = ["d2"] } }]
[[rules]]
name = "r"
class = "lookup"
placement = "p"
when = { district = ["d1"] }
timeout_ms = 2000
long = true
fresh_ms = 600
aim_ms = 700
[[districts]]
name = "d1"
[[districts]]
name = "d2"
[[groups]]
name = "g"
links = 5
[judges]
return_after_ms = 1000
return_most_ms = 2000
trial_good = 7
aside_at = 90
[links]
lookup_share = 40
[holding]
most = 6
sessions = 8
"#;

const CURRENT_CONFIGURATION: &str = r#"
placements = [{ name = "p", select = { group = ["g"], zone = ["d1"] }, except = { zone = ["d2"] } }]
[[routes]]
name = "r"
class = "lookup"
placement = "p"
when = { zone = ["d1"] }
timeout_ms = 2000
long_running = true
max_staleness_ms = 600
latency_target_ms = 700
[[zones]]
name = "d1"
[[zones]]
name = "d2"
[[groups]]
name = "g"
connections = 5
[health]
probation_after_ms = 1000
probation_after_max_ms = 2000
probation_successes = 7
eject_at = 90
[connections]
primary_lookup_percent = 40
[queue]
max_waiting = 6
max_sessions = 8
"#;

const DEPRECATED_NODE_FILE: &str = "name = \"n1\"\ndistrict = \"d1\"\ndoor = \"127.0.0.1:1\"\ndesk = \"127.0.0.1:2\"\n\
     mesh = \"127.0.0.1:3\"\nseeds = []\nkeepers = [\"127.0.0.1:4\"]\nplatform = \"127.0.0.1:5\"\ntoken = \"t\"\n";
const DEPRECATED_KEEPER_FILE: &str =
    "name = \"k1\"\naddr = \"127.0.0.1:1\"\nkeepers = [\"k1=127.0.0.1:1\"]\ndata = \"/d\"\n";

/// Renames the zone label in the selectors, which are read as written, so that the rest can be compared.
fn with_zone_selectors(mut configuration: Configuration) -> Configuration {
    for placement in &mut configuration.placements {
        rename_label(&mut placement.select);
        rename_label(&mut placement.except);
    }
    for route in &mut configuration.routes {
        rename_label(&mut route.when);
    }
    configuration
}

fn rename_label(selector: &mut quincehatch_config::configuration::Selector) {
    if let Some(values) = selector.remove("district") {
        selector.insert("zone".into(), values);
    }
}

fn parse_toml(text: &str) -> Value {
    toml::from_str(text).unwrap()
}

fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(key, value)| ((*key).into(), (*value).into())).collect()
}

#[test]
fn a_configuration_is_the_same_when_written_with_the_keys_of_8d4197c_in_toml_or_json() {
    let expected = Configuration::parse(CURRENT_CONFIGURATION).unwrap();
    assert_eq!(with_zone_selectors(Configuration::parse(DEPRECATED_CONFIGURATION).unwrap()), expected);
    assert_eq!(
        with_zone_selectors(Configuration::parse(&parse_toml(DEPRECATED_CONFIGURATION).to_string()).unwrap()),
        expected
    );
}

#[test]
fn a_notice_names_every_deprecated_key_of_a_configuration_once() {
    let found = rename_in_configuration(&mut parse_toml(DEPRECATED_CONFIGURATION)).unwrap();
    let notice = found.notice("the configuration").unwrap();
    for (old, new) in [
        ("rules", "routes"),
        ("districts", "zones"),
        ("judges", "health"),
        ("links", "connections"),
        ("holding", "queue"),
        ("routes[].long", "long_running"),
        ("routes[].fresh_ms", "max_staleness_ms"),
        ("routes[].aim_ms", "latency_target_ms"),
        ("groups[].links", "connections"),
        ("health.return_after_ms", "probation_after_ms"),
        ("health.return_most_ms", "probation_after_max_ms"),
        ("health.trial_good", "probation_successes"),
        ("health.aside_at", "eject_at"),
        ("connections.lookup_share", "primary_lookup_percent"),
        ("queue.most", "max_waiting"),
        ("queue.sessions", "max_sessions"),
        ("placements[].select.district", "zone"),
        ("placements[].except.district", "zone"),
        ("routes[].when.district", "zone"),
    ] {
        let entry = format!(" {old} (now {new})");
        assert_eq!(notice.matches(&entry).count(), 1, "{entry} in {notice}");
    }
    assert!(!notice.contains('\n'), "{notice}");
}

#[test]
fn nothing_is_reported_or_changed_when_a_document_has_no_deprecated_key() {
    let mut renamed = parse_toml(CURRENT_CONFIGURATION);
    let found = rename_in_configuration(&mut renamed).unwrap();
    assert_eq!(found.notice("the configuration"), None);
    assert_eq!(renamed, parse_toml(CURRENT_CONFIGURATION));
    let mut empty = json!({});
    assert!(rename_in_configuration(&mut empty).unwrap().is_empty());
    assert_eq!(empty, json!({}));
}

#[test]
fn a_configuration_is_rejected_when_a_key_is_given_under_both_names() {
    let error =
        Configuration::parse(&CURRENT_CONFIGURATION.replace("eject_at = 90", "eject_at = 90\naside_at = 90"))
            .unwrap_err();
    assert!(error.has_code(ErrorCode::ConfigurationInvalid), "{error}");
    assert!(error.text.contains("health.aside_at: is the deprecated name of eject_at"), "{error}");
}

#[test]
fn servers_belong_to_a_placement_when_their_zone_label_has_its_old_name_or_its_new_one() {
    for text in [DEPRECATED_CONFIGURATION, CURRENT_CONFIGURATION] {
        let configuration = Configuration::parse(text).unwrap();
        let placement = &configuration.placements[0];
        for label in ["district", "zone"] {
            let includes =
                |zone| configuration.placement_includes(placement, &labels(&[("group", "g"), (label, zone)]));
            assert!(includes("d1") && !includes("d2") && !includes("d3"), "{label}: {text}");
            assert!(configuration.route_for("lookup", &labels(&[(label, "d1")])).is_some());
            assert!(configuration.route_for("lookup", &labels(&[(label, "d2")])).is_none());
        }
    }
}

#[test]
fn settings_are_the_same_when_written_with_the_keys_of_8d4197c() {
    let node: NodeSettings = read_text("node", DEPRECATED_NODE_FILE);
    assert_eq!((node.zone.as_str(), node.client_listener.as_str()), ("d1", "127.0.0.1:1"));
    assert_eq!(
        (node.operator_listener.as_str(), node.gossip_listener.as_str()),
        ("127.0.0.1:2", "127.0.0.1:3")
    );
    node.validate().unwrap();
    let keeper: KeeperSettings = read_text("keeper", DEPRECATED_KEEPER_FILE);
    assert_eq!(keeper.data_dir, "/d");
    keeper.validate().unwrap();
    let node_keys =
        rename_in_node_settings(&mut parse_toml(DEPRECATED_NODE_FILE)).unwrap().notice("f").unwrap();
    let expected = "f uses deprecated keys: district (now zone), door (now client_listener), \
                    desk (now operator_listener), mesh (now gossip_listener)";
    assert_eq!(node_keys, expected);
    let keeper_keys = rename_in_keeper_settings(&mut parse_toml(DEPRECATED_KEEPER_FILE)).unwrap();
    assert_eq!(keeper_keys.notice("f").unwrap(), "f uses deprecated keys: data (now data_dir)");
}

#[test]
fn a_settings_file_is_rejected_when_a_key_is_given_under_both_names() {
    let both = format!("{DEPRECATED_KEEPER_FILE}data_dir = \"/e\"\n");
    let path = write_file("both", &both);
    let error = read_file::<KeeperSettings>(&path).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    assert!(error.has_code(ErrorCode::InvalidSettings), "{error}");
    assert!(error.text.contains("data: is the deprecated name of data_dir"), "{error}");
}

#[test]
fn a_flag_has_a_new_name_only_when_it_was_renamed() {
    for (old, new) in [
        ("district", "zone"),
        ("door", "client-listener"),
        ("desk", "operator-listener"),
        ("mesh", "gossip-listener"),
    ] {
        assert_eq!(renamed_node_flag(old).unwrap().new, new);
    }
    assert_eq!(renamed_node_flag("zone"), None);
}

fn write_file(name: &str, text: &str) -> String {
    let file = format!("quincehatch-{name}-{}.toml", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, text).unwrap();
    path.display().to_string()
}

fn read_text<S: quincehatch_config::settings::SettingsFile>(name: &str, text: &str) -> S {
    let path = write_file(name, text);
    let settings = read_file(&path);
    std::fs::remove_file(&path).unwrap();
    settings.unwrap()
}
