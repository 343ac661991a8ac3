//! A keeper whose disk fails or stalls stays up, confirms no write, and resumes by itself.
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
    let command = Command::AcquireFence { duty: "duty".into(), by: "t".into() };
    Request::Write { key: format!("key/{token}").into(), command }
}

/// Writes at the current head, and runs for a second.
fn write(net: &mut Hosts, token: u64) {
    let head = net.tail().expect("a tail serves").view.head().cloned().unwrap();
    net.ask(&head, token, take_fence(token));
    net.run(1_000);
}

fn is_confirmed(net: &Hosts, token: u64) -> bool {
    net.replies_to(token).iter().any(|reply| matches!(reply, Reply::Answer { answer: Answer::Fence(_), .. }))
}

fn assert_told_to_retry(replies: &[&Reply]) {
    assert_matches!(replies, [Reply::Rejected { error }] if error.has_code(ErrorCode::ChainUnavailable) && error.retry_after_ms.is_some());
}

#[test]
fn a_member_leaves_the_view_when_its_disk_fails_and_returns_when_it_works() {
    for failing in NAMES {
        let mut net = serving();
        write(&mut net, 1);
        assert!(is_confirmed(&net, 1));
        net.disk(failing).fails = true;
        // The write under way is the first that the disk fails.
        net.ask(HEAD, 2, take_fence(2));
        net.run(100);
        assert!(net.hosts[failing].keeper().is_none(), "{failing} is not suspended");
        let sent = net.sent[failing];
        net.run(3_000);
        assert_eq!(net.sent[failing], sent, "{failing} sent messages to its peers");
        let tail = net.tail().expect("the others go on");
        assert!(!tail.view.is_member(failing));
        write(&mut net, 3);
        assert!(is_confirmed(&net, 3));

        net.disk(failing).fails = false;
        net.run(4_000);
        assert!(net.keeper(failing).view.is_member(failing), "{failing} is not back");
        assert_eq!(net.keeper(failing).store, net.tail().unwrap().store);
        let of_keeper = net.logged.iter().filter(|logged| logged.keeper == failing);
        let lines = of_keeper.map(|logged| logged.line.as_str());
        let lines: Vec<&str> = lines.filter(|line| line.contains("the disk takes")).collect();
        assert_matches!(lines[..], [first, second] if first.contains("no writes") && second.contains("again"));
    }
}

#[test]
fn clients_are_told_to_retry_and_the_status_says_why_when_a_keeper_is_suspended() {
    let mut net = serving();
    net.disk(HEAD).fails = true;
    net.ask(HEAD, 1, take_fence(1));
    // The write during which the disk failed: its outcome is unknown.
    assert_told_to_retry(&net.replies_to(1));
    assert_matches!(net.replies_to(1)[..], [Reply::Rejected { error }] if error.outcome == Outcome::Unknown);
    net.ask(HEAD, 2, take_fence(2));
    net.ask(HEAD, 3, Request::ReadStore);
    net.ask(HEAD, 4, Request::ReadDocument);
    net.ask(HEAD, 5, Request::Status);
    for token in 2..=4 {
        assert_told_to_retry(&net.replies_to(token));
    }
    assert_matches!(net.replies_to(5)[..], [Reply::Status { status }] => {
        assert!(status.reason.contains("suspended") && status.reason.contains("No space left"), "{}", status.reason);
        assert!(!status.serving && status.disk.allowed > 0);
    });
}

/// Every disk is full for a while: no write is confirmed meanwhile, no confirmed write is lost, and no operator is
/// needed.
#[test]
fn the_chain_resumes_with_all_confirmed_writes_when_all_disks_have_failed() {
    let mut net = serving();
    for token in 1..=5 {
        write(&mut net, token);
        assert!(is_confirmed(&net, token));
    }
    let before = net.tail().unwrap().store.clone();
    for name in NAMES {
        net.disk(name).fails = true;
    }
    net.ask(HEAD, 6, take_fence(6));
    net.run(20_000);
    assert!(net.tail().is_none() && !is_confirmed(&net, 6));
    for name in NAMES {
        net.disk(name).fails = false;
    }
    net.run(5_000);
    let tail = net.tail().expect("the chain serves again");
    assert_eq!(tail.store.fences, before.fences);
    write(&mut net, 7);
    assert!(is_confirmed(&net, 7));
}

/// Failures that come and go leave no keeper behind.
#[test]
fn a_keeper_leaves_and_rejoins_each_time_its_disk_fails() {
    let mut net = serving();
    for token in 1..=6 {
        let failing = NAMES[token as usize % NAMES.len()];
        net.disk(failing).fails = true;
        net.run(2_500);
        net.disk(failing).fails = false;
        net.run(4_000);
        write(&mut net, token);
        assert!(is_confirmed(&net, token));
    }
    net.run(4_000);
    for name in NAMES {
        assert_eq!(net.keeper(name).store, net.tail().unwrap().store);
    }
}

/// A read that was computed before a long stall is not sent after it as if it were fresh.
#[test]
fn reads_are_redirected_when_the_tails_lease_ended_during_the_write() {
    for (stall, is_stale) in [(0, false), (VIEW_LEASE * 20, true)] {
        let mut net = serving();
        let now = net.now;
        let host = net.hosts.get_mut(TAIL).unwrap();
        let mut batch = Batch::default();
        host.step(now, Input::Request { token: 1, request: Request::ReadStore }, &mut batch);
        let outputs = host.complete_save(now + stall, Ok(()), batch);
        let is_given = outputs.iter().any(|output| matches!(output, Output::Reply(1, Reply::Store { .. })));
        let is_elsewhere =
            outputs.iter().any(|output| matches!(output, Output::Reply(1, Reply::Redirect { .. })));
        assert_eq!((is_given, is_elsewhere), (!is_stale, is_stale), "after {stall} ms");
    }
}

/// While a write takes too long, waiting clients are told to retry; they do not get the late reply as well.
#[test]
fn pending_requests_are_rejected_once_when_the_disk_stalls() {
    let mut net = serving();
    let now = net.now;
    let host = net.hosts.get_mut(HEAD).unwrap();
    let mut batch = Batch::default();
    host.step(now, Input::Request { token: 1, request: take_fence(1) }, &mut batch);
    let rejections = host.reject_pending();
    assert_eq!(rejections.len(), 1);
    assert!(host.status().reason.contains("stalls"));
    let late = host.complete_save(now + 500, Ok(()), batch);
    assert!(!late.iter().any(|output| matches!(output, Output::Reply(..))));
    assert!(!host.status().reason.contains("stalls"));
}

/// The time in which a keeper's own disk stalled does not count as silence of its peers.
#[test]
fn no_peer_is_removed_when_a_keeper_itself_was_suspended() {
    let mut net = serving();
    let version = net.tail().unwrap().view.version;
    net.disk(HEAD).stall = 5_000;
    net.ask(HEAD, 1, take_fence(1));
    net.run(3_000);
    let tail = net.tail().expect("a tail serves");
    assert_eq!(tail.view.members.len(), 3, "{:?}", tail.view);
    assert_eq!(tail.view.version, version);
}
