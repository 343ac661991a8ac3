//! The chain and its view in a small loop of virtual time (§5.2, §5.3).
mod kit;

use assert_matches::assert_matches;
use kit::{Net, machine};
use quincehatch_core::ErrorCode;
use quincehatch_store::{Answer, Command, Reply, Request, View, Voter};

fn push(base: u64, text: &str) -> Command {
    Command::PushConfiguration { base, text: text.into(), by: "t".into() }
}

#[test]
fn a_write_is_taken_once_and_answered_alike() {
    let mut net = Net::new(&["k1", "k2", "k3"]);
    net.run(6_000);
    net.ask("k1", 1, Request::Write { key: "a".into(), command: push(0, "x") });
    net.run(300);
    net.ask("k1", 2, Request::Write { key: "a".into(), command: push(0, "x") });
    net.ask("k1", 3, Request::Write { key: "a".into(), command: push(0, "y") });
    net.ask("k1", 4, Request::Write { key: "b".into(), command: push(0, "y") });
    net.ask("k2", 5, Request::Write { key: "c".into(), command: push(1, "z") });
    net.run(300);
    let of = |t: u64| net.reps.iter().find(|r| r.0 == t).map(|r| r.1.clone());
    assert_matches!(of(1), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_matches!(of(2), Some(Reply::Answer { answer: Answer::Version(1), .. }));
    assert_matches!(of(3), Some(Reply::Answer { answer: Answer::Rejected(b), .. }) if b.has_code(ErrorCode::PushConflict));
    assert_matches!(of(4), Some(Reply::Answer { answer: Answer::Rejected(b), .. }) if b.has_code(ErrorCode::ConfigurationStale));
    assert_matches!(of(5), Some(Reply::Redirect { .. }));
}

#[test]
fn a_minority_never_mends_and_never_serves() {
    let mut net = Net::new(&["k1", "k2", "k3"]);
    net.run(3_000);
    assert!(net.ks["k3"].is_serving());
    net.down = vec!["k1".into(), "k2".into()];
    net.run(6_000);
    assert_eq!(net.view("k3").version, 1);
    assert!(!net.ks["k3"].is_serving());
}

/// A disk is lost: the machine goes, another comes under a new name (docs/operate.md).
#[test]
fn a_machine_is_taken_out_and_another_brought_in() {
    let mut net = Net::new(&["k1", "k2", "k3"]);
    net.run(6_000);
    net.ask("k1", 1, Request::Write { key: "a".into(), command: push(0, "x") });
    net.run(200);
    net.down = vec!["k2".into()];
    net.run(3_000);
    let v = net.view("k1").clone();
    assert_eq!((v.version, v.members.len()), (2, 2));
    let rest: Vec<Voter> = v.voters.iter().filter(|m| m.name != "k2").cloned().collect();
    net.ask("k1", 2, Request::ChangeVoters { version: v.version, voters: rest.clone() });
    net.run(3_000);
    let v = net.view("k1").clone();
    assert_eq!((v.version, v.voters.len()), (3, 2));
    let mut more = rest;
    more.push(machine("k4"));
    net.add("k4", View::default());
    net.ask("k3", 3, Request::ChangeVoters { version: v.version, voters: more });
    net.run(6_000);
    assert_eq!(net.view("k3").members, ["k1", "k3", "k4"]);
    assert!(net.ks["k4"].is_serving());
    assert_eq!(net.ks["k4"].store.configuration_version(), 1);
    net.ask("k1", 4, Request::ChangeVoters { version: 3, voters: vec![machine("k1")] });
    net.run(100);
    assert_matches!(net.reps.last(), Some((4, Reply::Rejected { error: why })) if why.has_code(ErrorCode::MembershipChangeRejected));
}
