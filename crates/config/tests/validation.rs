//! Checks that every kind of invalid value in a configuration is reported with its path.
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{ErrorCode, Labels};

const VALID: &str = "[[placements]]\nname=\"p\"\nselect={group=[\"g\"]}\n[[routes]]\nname=\"r\"\n\
                     class=\"order\"\nplacement=\"p\"\n";

const ZONED: &str = "[[placements]]\nname=\"west\"\nselect={group=[\"g\"],coast=[\"west\"]}\n[[routes]]\nname=\"r\"\n\
                     class=\"lookup\"\nplacement=\"west\"\nwhen={coast=[\"west\"]}\n[[zones]]\nname=\"d1\"\n\
                     labels={coast=\"west\"}\n[[zones]]\nname=\"d2\"\nlabels={coast=\"east\"}\n";

/// The label of a zone, and its deprecated name, which servers and selectors may still use.
const ZONE_KEYS: [&str; 2] = ["zone", "district"];

fn assert_rejected(text: &str, expected: &str) {
    let error = Configuration::parse(text).expect_err("the configuration was accepted");
    let matches = error.has_code(ErrorCode::ConfigurationInvalid) && error.text.contains(expected);
    assert!(matches, "{error} lacks {expected:?}");
}

fn labels(pairs: &[(&str, &str)]) -> Labels {
    pairs.iter().map(|(key, value)| ((*key).into(), (*value).into())).collect()
}

#[test]
fn a_valid_configuration_is_the_same_when_read_from_toml_and_json() {
    let from_toml = Configuration::parse(VALID).unwrap();
    assert_eq!(Configuration::parse(&from_toml.to_json()).unwrap(), from_toml);
    assert_eq!(Configuration::parse(&from_toml.to_stored_json()).unwrap(), from_toml);
    assert_eq!(from_toml.health.query_timeout_ms, 30_000);
}

#[test]
fn a_placement_includes_servers_by_the_labels_of_their_zone_when_they_have_none_of_their_own() {
    let configuration = Configuration::parse(ZONED).unwrap();
    let placement = &configuration.placements[0];
    let includes = |own: &[(&str, &str)]| configuration.placement_includes(placement, &labels(own));
    for key in ZONE_KEYS {
        assert!(includes(&[("group", "g"), (key, "d1")]), "{key}");
        assert!(!includes(&[("group", "g"), (key, "d2")]), "{key}");
        assert!(
            includes(&[("group", "g"), (key, "d2"), ("coast", "west")]),
            "{key}: the server's own label has precedence"
        );
        assert!(configuration.route_for("lookup", &labels(&[(key, "d1")])).is_some(), "{key}");
        assert!(configuration.route_for("lookup", &labels(&[(key, "d2")])).is_none(), "{key}");
    }
}

#[test]
fn invalid_zones_and_selectors_that_name_the_wrong_zones_are_rejected() {
    assert_rejected(&ZONED.replace("name=\"d2\"", "name=\"d1\""), "zones[1].name: \"d1\" is used twice");
    assert_rejected(
        &ZONED.replace("coast=\"east\"", "group=\"east\""),
        "zones[1].labels.group: is a server's own",
    );
    for key in ZONE_KEYS {
        let with_zone = |zone: &str| ZONED.replace("select={", &format!("select={{{key}=[\"{zone}\"],"));
        assert_rejected(&with_zone("d9"), &format!("placements[0].select.{key}: \"d9\" is not among"));
        assert_rejected(&with_zone("d2"), "placements[0].select.coast: every zone");
        let in_route = ZONED.replace("when={", &format!("when={{{key}=[\"d2\"],"));
        assert_rejected(&in_route, "routes[0].when.coast: every zone");
    }
    assert_rejected(&ZONED.replace("coast=\"east\"", "coast=\"10.0.0.1\""), "is an address");
}

#[test]
fn every_kind_of_invalid_value_is_reported_with_its_path() {
    assert_rejected("nonsense", "");
    assert_rejected(&format!("{VALID}colour = 1\n"), "colour");
    assert_rejected(
        &format!("{VALID}[connections]\nper_replica = 0\n"),
        "connections.per_replica: 0 is outside",
    );
    assert_rejected(&VALID.replace("group=", "host="), "chosen by labels");
    assert_rejected(&VALID.replace("[\"g\"]", "[\"10.0.0.1:5432\"]"), "is an address");
    assert_rejected(&VALID.replace("[\"g\"]", "[]"), "matches nothing");
    assert_rejected(&VALID.replace("placement=\"p\"", "placement=\"q\""), "no placement is named");
    assert_rejected(&VALID.replace("[\"g\"]", "[\"g\",\"h\"]"), "exactly one group");
    assert_rejected(&format!("{VALID}timeout_ms = 5\n"), "routes[0].timeout_ms: 5 is outside");
    assert_rejected(&format!("{VALID}query_timeout_ms = 200\n"), "shorter than the route's");
    assert_rejected(&format!("{VALID}[health]\nreset_weight = 1\n"), "it must suffice by itself");
    let duplicate_route = format!("{VALID}[[routes]]\nname=\"r\"\nclass=\"order\"\nplacement=\"p\"\n");
    assert_rejected(&duplicate_route, "used twice");
    assert_rejected(&duplicate_route, "an earlier route takes all");
    let selected = "select={group=[\"g\"]}";
    let excluded = VALID.replace(selected, &format!("{selected}\nexcept={{group=[\"g\"]}}"));
    assert_rejected(&excluded, "excludes everything");
}
