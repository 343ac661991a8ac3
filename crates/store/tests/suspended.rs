//! A keeper whose disk refuses or stalls stays up, confirms nothing, and comes back by itself (§5.7).
mod hosts;

use assert_matches::assert_matches;
use hosts::Hosts;
use quincehatch_core::{ErrorCode, Outcome};
use quincehatch_store::host::Batch;
use quincehatch_store::keeper::{Input, Output};
use quincehatch_store::timing::VIEW_LEASE;
use quincehatch_store::{Answer, Command, Reply, Request};

const NAMES: [&str; 3] = ["a", "b", "c"];
const HEAD: &str = "a";
const TAIL: &str = "c";

fn serving() -> Hosts {
    let mut net = Hosts::new(&NAMES);
    net.run(3_000);
    assert!(net.tail().is_some_and(|tail| tail.name == TAIL));
    net
}

fn take_fence(token: u64) -> Request {
    let cmd = Command::AcquireFence { duty: "duty".into(), by: "t".into() };
    Request::Write { key: format!("key/{token}").into(), command: cmd }
}

/// Writes at whoever is the head by now, and runs for a second.
fn write(net: &mut Hosts, token: u64) {
    let head = net.tail().expect("a tail serves").view.head().cloned().unwrap();
    net.ask(&head, token, take_fence(token));
    net.run(1_000);
}

fn is_confirmed(net: &Hosts, token: u64) -> bool {
    net.replies_to(token).iter().any(|reply| matches!(reply, Reply::Answer { answer: Answer::Fence(_), .. }))
}

fn assert_asked_again(replies: &[&Reply]) {
    assert_matches!(replies, [Reply::Rejected { error: why }] if why.has_code(ErrorCode::ChainUnavailable) && why.retry_after_ms.is_some());
}

#[test]
fn a_member_whose_disk_refuses_steps_out_and_comes_back_whatever_its_place() {
    for sick in NAMES {
        let mut net = serving();
        write(&mut net, 1);
        assert!(is_confirmed(&net, 1));
        net.disk(sick).refuses = true;
        // The write under way is the first thing that the disk refuses.
        net.ask(HEAD, 2, take_fence(2));
        net.run(100);
        assert!(net.hosts[sick].keeper().is_none(), "{sick} is not suspended");
        let sent = net.sent[sick];
        net.run(3_000);
        assert_eq!(net.sent[sick], sent, "{sick} spoke to its peers");
        let tail = net.tail().expect("the others go on");
        assert!(!tail.view.is_member(sick));
        write(&mut net, 3);
        assert!(is_confirmed(&net, 3));

        net.disk(sick).refuses = false;
        net.run(4_000);
        assert!(net.keeper(sick).view.is_member(sick), "{sick} is not back");
        assert_eq!(net.keeper(sick).store, net.tail().unwrap().store);
        let said = net.said.iter().filter(|(name, _)| name == sick).map(|(_, line)| line.as_str());
        let said: Vec<&str> = said.filter(|line| line.contains("the disk takes")).collect();
        assert_matches!(said[..], [first, second] if first.contains("no writes") && second.contains("again"));
    }
}

#[test]
fn a_suspended_keeper_tells_its_clients_to_ask_again_and_says_why_in_its_status() {
    let mut net = serving();
    net.disk(HEAD).refuses = true;
    net.ask(HEAD, 1, take_fence(1));
    // The write that met the refusal: whether it was kept is not known.
    assert_asked_again(&net.replies_to(1));
    assert_matches!(net.replies_to(1)[..], [Reply::Rejected { error: why }] if why.outcome == Outcome::Unknown);
    net.ask(HEAD, 2, take_fence(2));
    net.ask(HEAD, 3, Request::ReadStore);
    net.ask(HEAD, 4, Request::ReadDocument);
    net.ask(HEAD, 5, Request::Status);
    for token in 2..=4 {
        assert_asked_again(&net.replies_to(token));
    }
    assert_matches!(net.replies_to(5)[..], [Reply::Status { status }] => {
        assert!(status.reason.contains("suspended") && status.reason.contains("No space left"), "{}", status.reason);
        assert!(!status.serving && status.disk.allowed > 0);
    });
}

/// Every disk is full for a while: nothing is confirmed meanwhile, nothing that was is lost, and no hand is needed.
#[test]
fn when_all_disks_refuse_the_chain_comes_back_with_all_that_was_confirmed() {
    let mut net = serving();
    for token in 1..=5 {
        write(&mut net, token);
        assert!(is_confirmed(&net, token));
    }
    let before = net.tail().unwrap().store.clone();
    for name in NAMES {
        net.disk(name).refuses = true;
    }
    net.ask(HEAD, 6, take_fence(6));
    net.run(20_000);
    assert!(net.tail().is_none() && !is_confirmed(&net, 6));
    for name in NAMES {
        net.disk(name).refuses = false;
    }
    net.run(5_000);
    let tail = net.tail().expect("the chain serves again");
    assert_eq!(tail.store.fences, before.fences);
    write(&mut net, 7);
    assert!(is_confirmed(&net, 7));
}

/// Refusals that come and go leave no keeper behind.
#[test]
fn a_disk_that_refuses_again_and_again_is_left_and_joined_each_time() {
    let mut net = serving();
    for token in 1..=6 {
        let sick = NAMES[token as usize % NAMES.len()];
        net.disk(sick).refuses = true;
        net.run(2_500);
        net.disk(sick).refuses = false;
        net.run(4_000);
        write(&mut net, token);
        assert!(is_confirmed(&net, token));
    }
    net.run(4_000);
    for name in NAMES {
        assert_eq!(net.keeper(name).store, net.tail().unwrap().store);
    }
}

/// A read that was computed before a long stall is not handed out after it as if it were fresh.
#[test]
fn replies_under_the_tails_lease_are_not_given_once_the_lease_ended_in_the_write() {
    for (stall, is_stale) in [(0, false), (VIEW_LEASE * 20, true)] {
        let mut net = serving();
        let now = net.now;
        let host = net.hosts.get_mut(TAIL).unwrap();
        let mut batch = Batch::default();
        host.step(now, Input::Request { token: 1, request: Request::ReadStore }, &mut batch);
        let outputs = host.complete_save(now + stall, Ok(()), batch);
        let is_given = outputs.iter().any(|o| matches!(o, Output::Reply(1, Reply::Store { .. })));
        let is_elsewhere = outputs.iter().any(|o| matches!(o, Output::Reply(1, Reply::Redirect { .. })));
        assert_eq!((is_given, is_elsewhere), (!is_stale, is_stale), "after {stall} ms");
    }
}

/// While a write lasts too long, whoever waits is told to ask again; the late reply is not given as well.
#[test]
fn requests_that_wait_on_a_stalled_disk_are_declined_once() {
    let mut net = serving();
    let now = net.now;
    let host = net.hosts.get_mut(HEAD).unwrap();
    let mut batch = Batch::default();
    host.step(now, Input::Request { token: 1, request: take_fence(1) }, &mut batch);
    let declined = host.reject_pending();
    assert_eq!(declined.len(), 1);
    assert!(host.status().reason.contains("stalls"));
    let late = host.complete_save(now + 500, Ok(()), batch);
    assert!(!late.iter().any(|o| matches!(o, Output::Reply(..))));
    assert!(!host.status().reason.contains("stalls"));
}

/// Its own stand-still is no silence of the others: a keeper whose disk stalled leaves nobody out.
#[test]
fn a_keeper_that_stood_still_leaves_nobody_out() {
    let mut net = serving();
    let version = net.tail().unwrap().view.version;
    net.disk(HEAD).stall = 5_000;
    net.ask(HEAD, 1, take_fence(1));
    net.run(3_000);
    let tail = net.tail().expect("a tail serves");
    assert_eq!(tail.view.members.len(), 3, "{:?}", tail.view);
    assert_eq!(tail.view.version, version);
}
