//! Checks that Kubernetes-style objects are read and validated like any other configuration.
use quincehatch_config::configuration::Configuration;
use quincehatch_core::ErrorCode;

const VALID: &str = "
apiVersion: quincehatch/v1
kind: Placement
metadata: { name: scrips, labels: { team: rx } }
spec:
  selector:
    matchLabels: { group: rx }
    matchExpressions: [{ key: tier, operator: NotIn, values: [old] }]
---
apiVersion: quincehatch/v1
kind: Route
metadata: { name: orders }
spec:
  class: order
  placement: scrips
  timeoutMs: 800
  selector: { matchLabels: { db: rx } }
---
apiVersion: quincehatch/v1
kind: Health
spec: { probationAfterMs: 20000 }
---
apiVersion: quincehatch/v1
kind: Zone
metadata: { name: d1 }
spec: { labels: { coast: east } }
---
apiVersion: quincehatch/v1
kind: Connections
spec: { primaryLookupPercent: 30 }
---
apiVersion: quincehatch/v1
kind: Queue
spec: { maxWaiting: 400, maxSessions: 2000 }
";

#[test]
fn objects_are_the_same_configuration_when_written_as_toml() {
    let from_objects = Configuration::parse(VALID).unwrap();
    let from_toml = Configuration::parse(
        "[[placements]]\nname=\"scrips\"\nselect={group=[\"rx\"]}\nexcept={tier=[\"old\"]}\n[[routes]]\nname=\"orders\"\n\
         class=\"order\"\nplacement=\"scrips\"\ntimeout_ms=800\nwhen={db=[\"rx\"]}\n[health]\nprobation_after_ms=20000\n\
         [[zones]]\nname=\"d1\"\nlabels={coast=\"east\"}\n[connections]\nprimary_lookup_percent=30\n\
         [queue]\nmax_waiting=400\nmax_sessions=2000\n",
    );
    assert_eq!(from_objects, from_toml.unwrap());
}

#[test]
fn objects_are_the_same_configuration_when_they_use_the_kinds_and_keys_of_8d4197c() {
    let deprecated = VALID
        .replace("kind: Route", "kind: Rule")
        .replace("kind: Health", "kind: Judges")
        .replace("probationAfterMs", "returnAfterMs")
        .replace("kind: Zone", "kind: District")
        .replace("kind: Connections", "kind: Links")
        .replace("primaryLookupPercent", "lookupShare")
        .replace("kind: Queue", "kind: Holding")
        .replace("maxWaiting: 400, maxSessions", "most: 400, sessions");
    assert_eq!(Configuration::parse(&deprecated).unwrap(), Configuration::parse(VALID).unwrap());
}

#[test]
fn invalid_objects_are_rejected_with_an_error_that_names_the_document_or_the_key() {
    for (from, to, expected) in [
        ("quincehatch/v1\nkind: Route", "apps/v1\nkind: Route", "document 2: apiVersion"),
        ("kind: Health", "kind: Pod", "no kind is called \"Pod\""),
        ("operator: NotIn", "operator: Exists", "In and NotIn are"),
        ("timeoutMs: 800", "timeoutMs: 8", "routes[0].timeout_ms: 8 is outside"),
        ("timeoutMs: 800", "colour: red", "colour"),
        ("matchLabels: { group: rx }", "matchLabels: { host: rx }", "chosen by labels"),
        ("kind: Placement", "kind: [", "document 1"),
    ] {
        let error = Configuration::parse(&VALID.replace(from, to)).expect_err(to);
        let matches = error.has_code(ErrorCode::ConfigurationInvalid) && error.text.contains(expected);
        assert!(matches, "{error} lacks {expected:?}");
    }
}
