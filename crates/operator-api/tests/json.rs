//! The JSON format of requests and replies, including the former field names that older programs write.
use quincehatch_operator_api::configuration::{Difference, PushReply, PushRequest, RollbackRequest};
use quincehatch_operator_api::explain::{ExplainReply, ExplainRequest, ExplainSubject, Explanation};
use quincehatch_operator_api::fan_out::NodeAnswer;
use quincehatch_operator_api::maintenance::{DrainReply, DrainRequest, PromoteRequest};
use quincehatch_operator_api::nodes::{NodeReport, NodesReply};
use quincehatch_operator_api::status::{KeeperAnswer, StatusReply};
use quincehatch_operator_api::{CallName, ErrorReply, OperatorCall};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

fn parse<T: DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).unwrap()
}

/// Parses a value and serializes it again.
fn round_trip<T: DeserializeOwned + Serialize>(value: Value) -> Value {
    serde_json::to_value(parse::<T>(value)).unwrap()
}

fn new_node_report() -> Value {
    json!({"name": "n1", "zone": "z1", "client_listener": "127.0.0.1:1", "operator_listener": "127.0.0.1:2",
           "ready": true, "why": "", "lease_ms": 3000, "version": 4, "change": 9, "sessions": 2,
           "session_replicas": 3, "in_flight": 1, "committed": 7, "not_applied": 6, "unknown": 5, "live": 3,
           "view": ["n2"], "gossip_messages_sent": 11})
}

fn old_node_report() -> Value {
    json!({"name": "n1", "district": "z1", "door": "127.0.0.1:1", "desk": "127.0.0.1:2",
           "ready": true, "why": "", "lease_ms": 3000, "version": 4, "change": 9, "sessions": 2,
           "copies": 3, "in_hand": 1, "kept": 7, "nothing": 6, "unknown": 5, "live": 3,
           "view": ["n2"], "letters": 11})
}

#[test]
fn every_call_is_found_at_its_own_path() {
    for call in CallName::ALL {
        assert_eq!(CallName::from_path(&call.path()), Some(call));
    }
    assert_eq!(PushRequest::NAME.path(), "/op/push");
    assert_eq!(CallName::from_path("/op/other"), None);
    assert_eq!(CallName::from_path("/v1/push"), None);
    assert!(CallName::is_operator_path("/op/other") && !CallName::is_operator_path("/beat"));
}

#[test]
fn omitted_request_fields_take_their_defaults() {
    let push: PushRequest = parse(json!({}));
    assert_eq!(push, PushRequest::default());
    assert_eq!(parse::<ExplainRequest>(json!({})).subject(), None);
    assert!(!parse::<DrainRequest>(json!({"name": "n1"})).undo);
    assert_eq!(parse::<PromoteRequest>(json!({"group": "g1"})).to, "");
}

#[test]
fn push_and_rollback_options_are_parsed() {
    let request = json!({"text": "t", "base": 3, "key": "k1", "by": "me", "dry_run": true});
    let push: PushRequest = parse(request.clone());
    assert_eq!(push.text, "t");
    assert_eq!(push.options.base, Some(3));
    assert_eq!(push.options.idempotency_key.as_deref(), Some("k1"));
    assert_eq!(push.options.by.as_deref(), Some("me"));
    assert_eq!(push.options.dry_run, Some(true));
    assert_eq!(round_trip::<PushRequest>(request.clone()), request);
    let rollback: RollbackRequest = parse(json!({"version": 2, "idempotency_key": "k2"}));
    assert_eq!((rollback.version, rollback.options.idempotency_key.as_deref()), (2, Some("k2")));
}

#[test]
fn a_field_of_the_wrong_type_is_rejected() {
    assert!(serde_json::from_value::<PushRequest>(json!({"dry_run": "yes"})).is_err());
    assert!(serde_json::from_value::<DrainRequest>(json!({"name": "n1", "undo": "no"})).is_err());
}

#[test]
fn dry_run_and_applied_push_replies_are_distinguished() {
    let dry_run = json!({"valid": true, "builds_on": 3, "diff": ["+ a = 1"], "no_server_yet": []});
    let applied = json!({"version": 4, "diff": [], "no_server_yet": ["p1"]});
    let difference = Difference { diff: vec![], no_server_yet: vec!["p1".into()] };
    assert!(matches!(parse(dry_run.clone()), PushReply::DryRun { builds_on: 3, .. }));
    assert_eq!(parse::<PushReply>(applied.clone()), PushReply::Applied { version: 4, difference });
    assert_eq!(round_trip::<PushReply>(dry_run.clone()), dry_run);
    assert_eq!(round_trip::<PushReply>(applied.clone()), applied);
}

#[test]
fn former_field_name_of_a_request_id_is_accepted() {
    for key in ["request", "visit"] {
        let request: ExplainRequest = parse(json!({key: "17"}));
        assert_eq!(request.subject(), Some(ExplainSubject::Request("17".into())));
    }
    let promotions: ExplainRequest = parse(json!({"promotions": "all"}));
    assert_eq!(promotions.subject(), Some(ExplainSubject::Promotions));
}

#[test]
fn former_field_names_in_a_node_report_are_accepted() {
    let report: NodeReport = parse(old_node_report());
    assert_eq!(report, parse(new_node_report()));
    assert_eq!(round_trip::<NodeReport>(old_node_report()), new_node_report());
}

#[test]
fn unresponsive_nodes_are_distinguished_from_nodes_without_a_report() {
    let nodes: NodesReply = parse(json!({"nodes": [
        {"node": "n1", "answer": new_node_report()},
        {"node": "n2", "unresponsive": true},
        {"node": "n3", "silent": true},
        {"node": "n4", "answer": null}]}));
    assert!(
        matches!(&nodes.nodes[0], NodeAnswer::Answered { answer: Some(report), .. } if report.name == "n1")
    );
    assert_eq!(nodes.nodes[1], NodeAnswer::unresponsive("n2".into()));
    assert_eq!(nodes.nodes[2], NodeAnswer::unresponsive("n3".into()));
    assert_eq!(nodes.nodes[3], NodeAnswer::Answered { node: "n4".into(), answer: None });
}

#[test]
fn status_reply_round_trips() {
    let status = json!({"version": 4, "change": 9,
        "view": {"version": 2, "members": ["k1"], "voters": [{"name": "k1", "addr": "127.0.0.1:3"}]},
        "keepers": [
            {"name": "k1", "addr": "127.0.0.1:3", "why": "serves as the tail", "view": 2, "change": 9,
             "committed": 9, "in_force": 8, "leases": 3, "disk": {"used": 10, "allowed": 20},
             "log": {"entries": 1, "bytes": 2}},
            {"name": "k2", "addr": "127.0.0.1:4", "unresponsive": true}],
        "primaries": [{"group": "g1", "server": null, "fence": 3, "assigned_by": "n1"}],
        "nodes": [{"node": "n1", "answer": new_node_report()}, {"node": "n2", "unresponsive": true}]});
    let reply: StatusReply = parse(status.clone());
    assert!(matches!(&reply.keepers[0], KeeperAnswer::Answered(keeper) if keeper.in_force == 8));
    assert!(matches!(reply.keepers[1], KeeperAnswer::Unresponsive { .. }));
    assert_eq!(round_trip::<StatusReply>(status.clone()), status);
}

#[test]
fn kinds_of_explanation_are_distinguished() {
    let health = json!({"node": "n1", "server": "s1", "health": "set-aside", "probation_in_ms": 5,
        "transitions": [{"ago_ms": 1, "to": "set-aside", "why": "w",
                         "evidence": [{"signal": "Reset", "weight": 100, "ago_ms": 1}]}]});
    let old_health = json!({"node": "n1", "server": "s1", "verdict": "set-aside", "trial_in_ms": 5,
        "turns": [{"ago_ms": 1, "to": "set-aside", "why": "w",
                   "evidence": [{"sign": "Reset", "weight": 100, "ago_ms": 1}]}]});
    let location =
        json!({"node": "n1", "server": "s1", "placement": "p", "zone": "z", "version": 1, "health": "h"});
    let trace =
        json!({"request_id": 17, "what": "order", "ms": 3, "code": 0, "where": location, "path": ["route"]});
    let answers = [health.clone(), trace, json!(["promoted"]), json!(null)];
    let nodes = answers.clone().map(|answer| json!({"node": "n1", "answer": answer}));
    let reply = json!({"nodes": nodes});
    assert_eq!(round_trip::<ExplainReply>(reply.clone()), reply);
    assert!(matches!(parse(answers[1].clone()), Explanation::Request(trace) if trace.request_id == 17));
    assert!(matches!(parse(answers[2].clone()), Explanation::Promotions(lines) if lines == ["promoted"]));
    assert_eq!(round_trip::<Explanation>(old_health), health);
}

#[test]
fn unknown_fields_of_error_and_drain_replies_are_ignored() {
    let body = json!({"end": "nothing", "error": {"code": 1602, "text": "t"}, "retry_after_ms": 500});
    assert_eq!(parse::<ErrorReply>(body).error.code, 1602);
    let drained =
        json!({"node": "n1", "answer": {"draining": true, "sessions": 2, "in_hand": 1, "more": []}});
    assert_eq!(parse::<DrainReply>(drained).answer.unwrap().in_flight, 1);
}
