//! Tests of tenants in a configuration, and of the digests of their keys.
use quincehatch_config::configuration::Configuration;
use quincehatch_config::key_digest::{KeyDigest, MAX_KEY_BYTES};
use quincehatch_core::ErrorCode;

const BASE: &str = "require_keys = true\n[[placements]]\nname=\"p\"\nselect={group=[\"g\"]}\n[[routes]]\nname=\"r\"\n\
                    class=\"order\"\nplacement=\"p\"\n";

fn digest(key: &str) -> String {
    KeyDigest::of(key.as_bytes()).unwrap().to_string()
}

fn tenant(name: &str, keys: &[&str]) -> String {
    let digests: Vec<String> = keys.iter().map(|key| format!("\"{}\"", digest(key))).collect();
    format!("[[tenants]]\nname=\"{name}\"\nkeys=[{}]\nrate_per_s=10\nburst=5\n", digests.join(","))
}

fn assert_rejected(tenants: &str, expected: &str) {
    let error =
        Configuration::parse(&format!("{BASE}{tenants}")).expect_err("the configuration was accepted");
    let matches = error.has_code(ErrorCode::ConfigurationInvalid) && error.text.contains(expected);
    assert!(matches, "{error} lacks {expected:?}");
    assert!(!error.text.contains(&digest("a")), "digests are not shown: {error}");
}

#[test]
fn tenants_are_the_same_when_read_from_the_stored_form() {
    let text = format!("{BASE}{}{}", tenant("rowan", &["a", "b"]), tenant("hazel", &["c"]));
    let configuration = Configuration::parse(&text).unwrap();
    assert_eq!(configuration.tenants.len(), 2);
    assert!(configuration.require_keys && !configuration.routes[0].public);
    let stored = configuration.to_stored_json();
    assert_eq!(Configuration::parse_stored(&stored).unwrap(), configuration);
    assert_eq!(Configuration::parse(&configuration.to_json()).unwrap(), configuration);
    let limits = quincehatch_config::configuration::limits_in_stored(&stored);
    assert_eq!((limits["rowan"].rate_per_s, limits["rowan"].burst), (10, 5));
}

/// Earlier releases read the stored form, and repeated pushes are compared by it.
#[test]
fn the_stored_form_of_a_configuration_without_tenants_has_none_of_their_keys() {
    let stored = Configuration::parse(&BASE.replace("require_keys = true\n", "")).unwrap().to_stored_json();
    for key in ["tenants", "require_keys", "public"] {
        assert!(!stored.contains(key), "{key} in {stored}");
    }
}

#[test]
fn every_kind_of_invalid_tenant_is_reported_with_its_path() {
    assert_rejected(&format!("{}{}", tenant("rowan", &["a"]), tenant("rowan", &["b"])), "tenants[1].name");
    assert_rejected(
        &format!("{}{}", tenant("rowan", &["a"]), tenant("hazel", &["b", "a"])),
        "tenants[1].keys[1]: another tenant has the same key",
    );
    assert_rejected(&tenant("two words", &["a"]), "tenants[0].name");
    assert_rejected(&tenant("rowan", &["a"]).replace(&digest("a"), "plain-key"), "tenants[0].keys[0]");
    assert_rejected(
        &tenant("rowan", &["a"]).replace("rate_per_s=10", "rate_per_s=0"),
        "tenants[0].rate_per_s",
    );
}

#[test]
fn a_digest_identifies_one_key_and_is_hidden_in_debug_output() {
    assert_ne!(digest("a"), digest("b"));
    assert_eq!(digest("a").parse::<KeyDigest>().unwrap(), KeyDigest::of(b"a").unwrap());
    assert_eq!(format!("{:?}", KeyDigest::of(b"a")), "Some(KeyDigest(..))");
    assert!(KeyDigest::of(b"").is_none() && KeyDigest::of(&[b'k'; MAX_KEY_BYTES + 1]).is_none());
    for text in ["", "00", &digest("a").to_uppercase(), &format!("{}0", digest("a"))] {
        assert!(text.parse::<KeyDigest>().is_err(), "{text}");
    }
}
