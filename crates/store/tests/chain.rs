//! The chain and its view: idempotent writes, loss of a majority, and changes of the voters by an operator.
mod cluster;

use assert_matches::assert_matches;
use cluster::{Cluster, SentReply, voter};
use quincehatch_core::ErrorCode;
use quincehatch_store::{Answer, Command, Reply, Request, View, Voter};

fn push(base: u64, text: &str) -> Command {
    Command::PushConfiguration { base, text: text.into(), by: "t".into() }
}

#[test]
fn a_repeated_write_takes_effect_once_and_gets_the_same_answer() {
    let mut cluster = Cluster::new(&["k1", "k2", "k3"]);
    cluster.run_for(6_000);
    cluster.request("k1", 1, Request::Write { key: "a".into(), command: push(0, "x") });
    cluster.run_for(300);
    cluster.request("k1", 2, Request::Write { key: "a".into(), command: push(0, "x") });
    cluster.request("k1", 3, Request::Write { key: "a".into(), command: push(0, "y") });
    cluster.request("k1", 4, Request::Write { key: "b".into(), command: push(0, "y") });
    cluster.request("k2", 5, Request::Write { key: "c".into(), command: push(1, "z") });
    cluster.run_for(300);
    assert_matches!(cluster.reply_to(1), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_matches!(cluster.reply_to(2), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_matches!(cluster.reply_to(3), Some(Reply::Answer { answer: Answer::Rejected(error), .. }) if error.has_code(ErrorCode::PushConflict));
    assert_matches!(cluster.reply_to(4), Some(Reply::Answer { answer: Answer::Rejected(error), .. }) if error.has_code(ErrorCode::ConfigurationStale));
    assert_matches!(cluster.reply_to(5), Some(Reply::Redirect { .. }));
}

#[test]
fn a_minority_neither_repairs_the_view_nor_serves() {
    let mut cluster = Cluster::new(&["k1", "k2", "k3"]);
    cluster.run_for(3_000);
    assert!(cluster.keepers["k3"].is_serving());
    cluster.down = vec!["k1".into(), "k2".into()];
    cluster.run_for(6_000);
    assert_eq!(cluster.view("k3").version, 1);
    assert!(!cluster.keepers["k3"].is_serving());
}

/// The operator removes a voter that lost its disk, and adds another under a new name (docs/operate.md).
#[test]
fn a_voter_is_removed_and_another_added_by_the_operator() {
    let mut cluster = Cluster::new(&["k1", "k2", "k3"]);
    cluster.run_for(6_000);
    cluster.request("k1", 1, Request::Write { key: "a".into(), command: push(0, "x") });
    cluster.run_for(200);
    cluster.down = vec!["k2".into()];
    cluster.run_for(3_000);
    let view = cluster.view("k1").clone();
    assert_eq!((view.version, view.members.len()), (2, 2));
    let rest: Vec<Voter> = view.voters.iter().filter(|voter| voter.name != "k2").cloned().collect();
    cluster.request("k1", 2, Request::ChangeVoters { version: view.version, voters: rest.clone() });
    cluster.run_for(3_000);
    let view = cluster.view("k1").clone();
    assert_eq!((view.version, view.voters.len()), (3, 2));
    let mut more = rest;
    more.push(voter("k4"));
    cluster.add("k4", View::default());
    cluster.request("k3", 3, Request::ChangeVoters { version: view.version, voters: more });
    cluster.run_for(6_000);
    assert_eq!(cluster.view("k3").members, ["k1", "k3", "k4"]);
    assert!(cluster.keepers["k4"].is_serving());
    assert_eq!(cluster.keepers["k4"].store.configuration_version(), 1);
    cluster.request("k1", 4, Request::ChangeVoters { version: 3, voters: vec![voter("k1")] });
    cluster.run_for(100);
    assert_matches!(cluster.replies.last(), Some(SentReply { token: 4, reply: Reply::Rejected { error } }) if error.has_code(ErrorCode::MembershipChangeRejected));
}
