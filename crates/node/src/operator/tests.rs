//! Tests of parts that cannot be tested separately through operator calls.
use super::configuration_diff::configuration_diff;
use super::report_query::ReportQuery;
use quincehatch_gossip::NodeQuery;

/// Nodes of older versions send and understand exactly these strings.
#[test]
fn a_report_query_is_encoded_with_the_strings_of_older_versions() {
    let to_server = ReportQuery::Handover { group: "g1".into(), to: Some("s2".into()) };
    let to_any = ReportQuery::Handover { group: "g1".into(), to: None };
    for (query, what, key) in [
        (ReportQuery::Node, "node", ""),
        (ReportQuery::ServerHealth("s1".into()), "server", "s1"),
        (ReportQuery::RequestTrace("17".into()), "visit", "17"),
        (ReportQuery::Promotions, "promotions", "all"),
        (to_server, "ask-promote", "g1=s2"),
        (to_any, "ask-promote", "g1="),
        (ReportQuery::SetDraining(true), "drain", "on"),
        (ReportQuery::SetDraining(false), "drain", "off"),
    ] {
        assert_eq!(query.to_message(), NodeQuery::Report { what: what.into(), key: key.into() });
        assert_eq!(ReportQuery::parse(what, key), Some(query));
    }
}

#[test]
fn a_report_query_of_an_unknown_kind_is_not_parsed() {
    assert_eq!(ReportQuery::parse("other", ""), None);
}

#[test]
fn changed_settings_are_listed_under_the_names_of_their_items() {
    let old = r#"{"routes": [{"name": "a", "timeout_ms": 1}, {"name": "b"}], "queue": {"max": 5}}"#;
    let new = r#"{"routes": [{"name": "a", "timeout_ms": 2}, {"name": "b"}], "queue": {"max": 5}}"#;
    assert_eq!(configuration_diff(old, new), ["- routes[a].timeout_ms = 1", "+ routes[a].timeout_ms = 2"]);
    assert_eq!(configuration_diff(old, old), Vec::<String>::new());
}

#[test]
fn every_setting_is_added_when_no_configuration_is_in_force() {
    let new = r#"{"items": [{"size": 1}]}"#;
    // The empty text counts as one setting without a name or value.
    assert_eq!(configuration_diff("", new), ["-  = null", "+ items[0].size = 1"]);
}
