//! The text output for replies of each call.
use super::Table;
use quincehatch_operator_api::OperatorCall;
use quincehatch_operator_api::configuration::{HistoryRequest, PushRequest};
use quincehatch_operator_api::explain::ExplainRequest;
use quincehatch_operator_api::maintenance::{DrainRequest, PromoteRequest};
use quincehatch_operator_api::members::MembersRequest;
use quincehatch_operator_api::nodes::NodesRequest;
use quincehatch_operator_api::placements::PlacementsRequest;
use quincehatch_operator_api::servers::ServersRequest;
use quincehatch_operator_api::status::StatusRequest;
use serde_json::{Value, json};

fn render<Request: OperatorCall>(reply: Value) -> String
where
    Request::Reply: Table,
{
    serde_json::from_value::<Request::Reply>(reply).unwrap().to_table()
}

fn node_report() -> Value {
    json!({"name": "n1", "zone": "z1", "client_listener": "127.0.0.1:1", "operator_listener": "127.0.0.1:2",
           "ready": true, "why": "", "lease_ms": 3000, "version": 4, "change": 9, "sessions": 2,
           "session_replicas": 3, "in_flight": 1, "committed": 7, "not_applied": 6, "unknown": 5, "live": 3,
           "view": [], "gossip_messages_sent": 11})
}

#[test]
fn unresponsive_nodes_are_listed() {
    let reply = json!({"nodes": [
        {"node": "n1", "answer": node_report()}, {"node": "n22", "unresponsive": true}]});
    let expected = "\
NODE  ZONE  READY         VERSION  CHANGE  LEASE MS  SESSIONS  COMMITTED  NOT APPLIED  UNKNOWN  WHY
n1    z1    true          4        9       3000      2         7          6            5        -
n22   -     unresponsive
";
    assert_eq!(render::<NodesRequest>(reply), expected);
}

#[test]
fn status_shows_how_many_changes_a_keeper_lags_behind() {
    let keeper = |name: &str, change: u64| {
        json!({"name": name, "addr": "127.0.0.1:3", "why": "in the chain", "view": 2, "change": change,
               "committed": 7, "in_force": 6, "leases": 3, "disk": {"used": 1_500_000, "allowed": 20_000_000},
               "log": {"entries": 1, "bytes": 2}})
    };
    let reply = json!({"version": 4, "change": 9,
        "view": {"version": 2, "members": ["k1", "k2"],
                 "voters": [{"name": "k1", "addr": "a"}, {"name": "k3", "addr": "a"}]},
        "keepers": [keeper("k1", 9), keeper("k2", 7), {"name": "k3", "addr": "127.0.0.1:3", "unresponsive": true}],
        "primaries": [{"group": "g1", "server": null, "fence": 3, "assigned_by": "n1"}],
        "nodes": []});
    let text = render::<StatusRequest>(reply);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], "version 4  change 9  view 2: k1 -> k2");
    assert_eq!(
        lines[2..6],
        [
            "KEEPER  ADDRESS      ROLE        CHANGE  COMMITTED  IN FORCE  BEHIND  DISK          STATE",
            "k1      127.0.0.1:3  member      9       7          6         0       1.5 of 20 MB  in the chain",
            "k2      127.0.0.1:3  member      7       7          6         2       1.5 of 20 MB  in the chain",
            "k3      127.0.0.1:3  votes only  -       -          -                               unresponsive",
        ]
    );
    assert_eq!(lines[7..9], ["GROUP  PRIMARY  FENCE  ASSIGNED BY", "g1     -        3      n1"]);
}

#[test]
fn a_server_is_shown_as_primary_when_the_cluster_state_names_it() {
    let reply = json!({"node": "n1", "servers": [{"server": "s1", "addr": "127.0.0.1:9",
        "labels": {"group": "g1", "district": "z1"}, "role": "Replica", "is_primary": true, "state": "Up",
        "fence": 3, "position": {"fence": 3, "n": 12}, "health": "in-rotation", "ejections": 0,
        "pending_replies": 1, "status_age_ms": 5, "failing_ms": null, "connections": 4, "idle": 2, "queued": 0}]});
    let text = render::<ServersRequest>(reply);
    let cells: Vec<&str> = text.lines().nth(2).unwrap().split_whitespace().collect();
    assert_eq!(text.lines().next(), Some("as node n1 sees them"));
    let expected = [
        "s1",
        "127.0.0.1:9",
        "g1",
        "z1",
        "primary",
        "up",
        "3.12",
        "in-rotation",
        "0",
        "1",
        "4",
        "2",
        "0",
        "-",
    ];
    assert_eq!(cells, expected);
}

#[test]
fn zones_missing_in_the_configuration_are_noted() {
    let reply = json!({"version": 1, "zones": [], "unknown_zones": ["z9"], "placements": [
        {"placement": "p", "select": {"group": ["g1"]}, "except": {}, "servers": ["s1", "s2"], "routes": ["r"]}]});
    let expected = "\
PLACEMENT  SELECT            SERVERS  ROUTES
p          {\"group\":[\"g1\"]}  s1 s2    r
note: zone z9 is not in the configuration, so it has no labels there
";
    assert_eq!(render::<PlacementsRequest>(reply), expected);
}

#[test]
fn push_shows_its_difference_and_whether_it_is_in_force() {
    let dry_run = json!({"valid": true, "builds_on": 3, "diff": ["+ a = 1"], "no_server_yet": ["p"]});
    let note = "note: no known server is in placement p\n";
    assert_eq!(
        render::<PushRequest>(dry_run),
        format!("+ a = 1\n{note}valid; it would build on version 3\n")
    );
    let applied = json!({"version": 4, "diff": [], "no_server_yet": []});
    assert_eq!(render::<PushRequest>(applied), "version 4 is in force\n");
    let history = json!({"history": [{"version": 4, "by": "me", "bytes": 10, "configuration": {}}]});
    assert_eq!(render::<HistoryRequest>(history), "VERSION  BY  BYTES\n4        me  10\n");
}

#[test]
fn explain_shows_the_answers_of_nodes_that_have_a_record_or_are_unresponsive() {
    let health = json!({"node": "n1", "server": "s1", "health": "set-aside", "probation_in_ms": 5,
        "transitions": [{"ago_ms": 1, "to": "set-aside", "why": "w",
                         "evidence": [{"signal": "Reset", "weight": 100, "ago_ms": 2}]}]});
    let reply = json!({"nodes": [
        {"node": "n1", "answer": health}, {"node": "n2", "answer": null}, {"node": "n3", "unresponsive": true}]});
    let expected = "\
n1: s1 is set-aside, probation in 5 ms
  1 ms ago to set-aside: w
    Reset weight 100 2 ms ago
n3: unresponsive
";
    assert_eq!(render::<ExplainRequest>(reply), expected);
    let nothing = json!({"nodes": [{"node": "n2", "answer": null}]});
    assert_eq!(render::<ExplainRequest>(nothing), "no node knows anything about that\n");
}

#[test]
fn promote_and_drain_replies_are_rendered_as_one_sentence() {
    let promoted = render::<PromoteRequest>(json!({"asked": "n1", "group": "g1"}));
    assert_eq!(promoted, "node n1 hands the primary of g1 over; see `quincehatchctl explain promotions`\n");
    let drained = json!({"node": "n1", "answer": {"draining": true, "sessions": 2, "in_flight": 1}});
    assert_eq!(render::<DrainRequest>(drained), "node n1 is draining: 2 sessions, 1 requests in flight\n");
}

#[test]
fn voters_outside_the_chain_are_shown_as_outside() {
    let reply = json!({"view": {"version": 2, "members": ["k1"],
        "voters": [{"name": "k1", "addr": "a"}, {"name": "k2", "addr": "b"}]}});
    let expected = "KEEPER  ADDRESS  POSITION\nk1      a        1 in the chain\nk2      b        outside\n";
    assert_eq!(render::<MembersRequest>(reply), expected);
}
