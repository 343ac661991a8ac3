//! A keeper whose disk fails or stalls keeps running, confirms no writes, and resumes without an operator.
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
    let mut cluster = Hosts::new(&NAMES);
    cluster.run(3_000);
    assert!(cluster.tail().is_some_and(|tail| tail.name == TAIL));
    cluster
}

fn acquire_fence_request(token: u64) -> Request {
    let command = Command::AcquireFence { duty: "duty".into(), by: "t".into() };
    Request::Write { key: format!("key/{token}").into(), command }
}

/// Sends a write to the current head, and runs for a second.
fn write(cluster: &mut Hosts, token: u64) {
    let head = cluster.tail().expect("a tail serves").view.head().cloned().unwrap();
    cluster.request(&head, token, acquire_fence_request(token));
    cluster.run(1_000);
}

fn is_confirmed(cluster: &Hosts, token: u64) -> bool {
    cluster
        .replies_to(token)
        .iter()
        .any(|reply| matches!(reply, Reply::Answer { answer: Answer::Fence(_), .. }))
}

fn assert_rejected_with_retry(replies: &[&Reply]) {
    assert_matches!(replies, [Reply::Rejected { error }] if error.has_code(ErrorCode::ChainUnavailable) && error.retry_after_ms.is_some());
}

#[test]
fn a_member_leaves_the_view_when_its_disk_fails_and_returns_when_it_works() {
    for failing in NAMES {
        let mut cluster = serving();
        write(&mut cluster, 1);
        assert!(is_confirmed(&cluster, 1));
        cluster.disk(failing).fails = true;
        // The disk fails during this write.
        cluster.request(HEAD, 2, acquire_fence_request(2));
        cluster.run(100);
        assert!(cluster.hosts[failing].keeper().is_none(), "{failing} is not suspended");
        let sent = cluster.sent[failing];
        cluster.run(3_000);
        assert_eq!(cluster.sent[failing], sent, "{failing} sent messages to its peers");
        let tail = cluster.tail().expect("the other keepers continue");
        assert!(!tail.view.is_member(failing));
        write(&mut cluster, 3);
        assert!(is_confirmed(&cluster, 3));

        cluster.disk(failing).fails = false;
        cluster.run(4_000);
        assert!(cluster.keeper(failing).view.is_member(failing), "{failing} is not back");
        assert_eq!(cluster.keeper(failing).store, cluster.tail().unwrap().store);
        let of_keeper = cluster.logged.iter().filter(|logged| logged.keeper == failing);
        let lines = of_keeper.map(|logged| logged.line.as_str());
        let lines: Vec<&str> = lines.filter(|line| line.contains("the disk")).collect();
        assert_matches!(lines[..], [first, second] if first.contains("does not accept writes") && second.contains("accepts writes again"));
    }
}

#[test]
fn requests_are_rejected_with_a_retry_delay_and_the_status_gives_the_cause_when_a_keeper_is_suspended() {
    let mut cluster = serving();
    cluster.disk(HEAD).fails = true;
    cluster.request(HEAD, 1, acquire_fence_request(1));
    // The disk failed during this write, so its outcome is unknown.
    assert_rejected_with_retry(&cluster.replies_to(1));
    assert_matches!(cluster.replies_to(1)[..], [Reply::Rejected { error }] if error.outcome == Outcome::Unknown);
    cluster.request(HEAD, 2, acquire_fence_request(2));
    cluster.request(HEAD, 3, Request::ReadStore);
    cluster.request(HEAD, 4, Request::ReadDocument);
    cluster.request(HEAD, 5, Request::Status);
    for token in 2..=4 {
        assert_rejected_with_retry(&cluster.replies_to(token));
    }
    assert_matches!(cluster.replies_to(5)[..], [Reply::Status { status }] => {
        assert!(status.reason.contains("suspended") && status.reason.contains("No space left"), "{}", status.reason);
        assert!(!status.serving && status.disk.allowed > 0);
    });
}

/// All disks are full for a while: no write is confirmed meanwhile, no confirmed write is lost, and no operator is
/// needed.
#[test]
fn the_chain_resumes_with_all_confirmed_writes_when_all_disks_have_failed() {
    let mut cluster = serving();
    for token in 1..=5 {
        write(&mut cluster, token);
        assert!(is_confirmed(&cluster, token));
    }
    let before = cluster.tail().unwrap().store.clone();
    for name in NAMES {
        cluster.disk(name).fails = true;
    }
    cluster.request(HEAD, 6, acquire_fence_request(6));
    cluster.run(20_000);
    assert!(cluster.tail().is_none() && !is_confirmed(&cluster, 6));
    for name in NAMES {
        cluster.disk(name).fails = false;
    }
    cluster.run(5_000);
    let tail = cluster.tail().expect("the chain serves again");
    assert_eq!(tail.store.fences, before.fences);
    write(&mut cluster, 7);
    assert!(is_confirmed(&cluster, 7));
}

/// After repeated temporary failures all keepers have the same store.
#[test]
fn a_keeper_leaves_and_rejoins_each_time_its_disk_fails() {
    let mut cluster = serving();
    for token in 1..=6 {
        let failing = NAMES[token as usize % NAMES.len()];
        cluster.disk(failing).fails = true;
        cluster.run(2_500);
        cluster.disk(failing).fails = false;
        cluster.run(4_000);
        write(&mut cluster, token);
        assert!(is_confirmed(&cluster, token));
    }
    cluster.run(4_000);
    for name in NAMES {
        assert_eq!(cluster.keeper(name).store, cluster.tail().unwrap().store);
    }
}

/// The result of a read that was computed before a long stall must not be sent after the stall, because it may be
/// stale.
#[test]
fn reads_are_redirected_when_the_tails_lease_ended_during_the_write() {
    for (stall, is_stale) in [(0, false), (VIEW_LEASE * 20, true)] {
        let mut cluster = serving();
        let now = cluster.now;
        let host = cluster.hosts.get_mut(TAIL).unwrap();
        let mut batch = Batch::default();
        host.step(now, Input::Request { token: 1, request: Request::ReadStore }, &mut batch);
        let outputs = host.complete_save(now + stall, Ok(()), batch);
        let is_given = outputs.iter().any(|output| matches!(output, Output::Reply(1, Reply::Store { .. })));
        let is_elsewhere =
            outputs.iter().any(|output| matches!(output, Output::Reply(1, Reply::Redirect { .. })));
        assert_eq!((is_given, is_elsewhere), (!is_stale, is_stale), "after {stall} ms");
    }
}

/// While a write stalls, pending requests are rejected with a retry delay; their clients must not get the late reply as
/// well.
#[test]
fn pending_requests_are_rejected_once_when_the_disk_stalls() {
    let mut cluster = serving();
    let now = cluster.now;
    let host = cluster.hosts.get_mut(HEAD).unwrap();
    let mut batch = Batch::default();
    host.step(now, Input::Request { token: 1, request: acquire_fence_request(1) }, &mut batch);
    let rejections = host.reject_pending_requests();
    assert_eq!(rejections.len(), 1);
    assert!(host.status().reason.contains("stalls"));
    let late = host.complete_save(now + 500, Ok(()), batch);
    assert!(!late.iter().any(|output| matches!(output, Output::Reply(..))));
    assert!(!host.status().reason.contains("stalls"));
}

/// The time during which a keeper's own disk stalled must not count as time without messages from its peers.
#[test]
fn no_peer_is_removed_when_a_keeper_itself_was_suspended() {
    let mut cluster = serving();
    let version = cluster.tail().unwrap().view.version;
    cluster.disk(HEAD).stall = 5_000;
    cluster.request(HEAD, 1, acquire_fence_request(1));
    cluster.run(3_000);
    let tail = cluster.tail().expect("a tail serves");
    assert_eq!(tail.view.members.len(), 3, "{:?}", tail.view);
    assert_eq!(tail.view.version, version);
}
