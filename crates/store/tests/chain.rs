//! The chain and its view: idempotent writes, loss of a majority, changes of the voters by an operator.
mod kit;

use assert_matches::assert_matches;
use kit::{Net, SentReply, voter};
use quincehatch_core::ErrorCode;
use quincehatch_store::{Answer, Command, Reply, Request, View, Voter};

fn push(base: u64, text: &str) -> Command {
    Command::PushConfiguration { base, text: text.into(), by: "t".into() }
}

#[test]
fn a_repeated_write_takes_effect_once_and_gets_the_same_answer() {
    let mut net = Net::new(&["k1", "k2", "k3"]);
    net.run(6_000);
    net.ask("k1", 1, Request::Write { key: "a".into(), command: push(0, "x") });
    net.run(300);
    net.ask("k1", 2, Request::Write { key: "a".into(), command: push(0, "x") });
    net.ask("k1", 3, Request::Write { key: "a".into(), command: push(0, "y") });
    net.ask("k1", 4, Request::Write { key: "b".into(), command: push(0, "y") });
    net.ask("k2", 5, Request::Write { key: "c".into(), command: push(1, "z") });
    net.run(300);
    assert_matches!(net.rep(1), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_matches!(net.rep(2), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_matches!(net.rep(3), Some(Reply::Answer { answer: Answer::Rejected(error), .. }) if error.has_code(ErrorCode::PushConflict));
    assert_matches!(net.rep(4), Some(Reply::Answer { answer: Answer::Rejected(error), .. }) if error.has_code(ErrorCode::ConfigurationStale));
    assert_matches!(net.rep(5), Some(Reply::Redirect { .. }));
}

#[test]
fn a_minority_neither_repairs_the_view_nor_serves() {
    let mut net = Net::new(&["k1", "k2", "k3"]);
    net.run(3_000);
    assert!(net.ks["k3"].is_serving());
    net.down = vec!["k1".into(), "k2".into()];
    net.run(6_000);
    assert_eq!(net.view("k3").version, 1);
    assert!(!net.ks["k3"].is_serving());
}

/// A disk is lost: its voter is removed, and another is added under a new name (docs/operate.md).
#[test]
fn a_voter_is_removed_and_another_added_by_the_operator() {
    let mut net = Net::new(&["k1", "k2", "k3"]);
    net.run(6_000);
    net.ask("k1", 1, Request::Write { key: "a".into(), command: push(0, "x") });
    net.run(200);
    net.down = vec!["k2".into()];
    net.run(3_000);
    let view = net.view("k1").clone();
    assert_eq!((view.version, view.members.len()), (2, 2));
    let rest: Vec<Voter> = view.voters.iter().filter(|voter| voter.name != "k2").cloned().collect();
    net.ask("k1", 2, Request::ChangeVoters { version: view.version, voters: rest.clone() });
    net.run(3_000);
    let view = net.view("k1").clone();
    assert_eq!((view.version, view.voters.len()), (3, 2));
    let mut more = rest;
    more.push(voter("k4"));
    net.add("k4", View::default());
    net.ask("k3", 3, Request::ChangeVoters { version: view.version, voters: more });
    net.run(6_000);
    assert_eq!(net.view("k3").members, ["k1", "k3", "k4"]);
    assert!(net.ks["k4"].is_serving());
    assert_eq!(net.ks["k4"].store.configuration_version(), 1);
    net.ask("k1", 4, Request::ChangeVoters { version: 3, voters: vec![voter("k1")] });
    net.run(100);
    assert_matches!(net.reps.last(), Some(SentReply { token: 4, reply: Reply::Rejected { error } }) if error.has_code(ErrorCode::MembershipChangeRejected));
}
