//! A keeper that is partitioned from the majority gives no definite answer: it confirms and rejects no writes and
//! returns no stale document (docs/design-control.md).
mod cluster;

use cluster::{Cluster, SentReply};
use quincehatch_core::{Millis, Name, Role, ServerRecord};
use quincehatch_store::{Answer, Command, Reply, Request};

/// How long a keeper stays partitioned.
const PARTITION_DURATION: Millis = 20_000;
/// Interval between two rounds of requests.
const ROUND_INTERVAL: Millis = 100;
/// First token of the requests that are sent during the partition.
const FIRST_TOKEN: u64 = 1_000;
/// Number of tokens that one round uses.
const TOKENS_PER_ROUND: u64 = 10;

fn adopt(number: u64, content: &str) -> Command {
    let source = format!("source {number} {content}");
    Command::AdoptDocument { number, text: source.clone(), source, by: "t".into() }
}

fn register(server: &str, seq: u64) -> Command {
    let record = ServerRecord {
        server: server.into(),
        group: "g".into(),
        addr: format!("{server}:1").into(),
        zone: "z".into(),
        slots: 5,
        draining: false,
        role: Role::Replica,
        seq,
    };
    Command::RegisterServer { at: record }
}

fn deregister(server: &str) -> Command {
    Command::DeregisterServer { server: server.into() }
}

fn write(cluster: &mut Cluster, to: &str, token: u64, key: &str, command: Command) {
    cluster.request(to, token, Request::Write { key: key.into(), command });
}

fn is_answer(reply: &Reply) -> bool {
    matches!(reply, Reply::Answer { .. })
}

/// Sends one request of each kind that operators and servers send to a keeper: reads, and writes that are new,
/// repeated, conflicting or without effect.
fn send_all_requests(cluster: &mut Cluster, keeper: &str, token: u64) {
    let writes = [
        ("adopt/7/a", adopt(7, "a")),
        ("adopt/7/a again", adopt(7, "a")),
        ("adopt/7/b", adopt(7, "b")),
        ("adopt/5/e", adopt(5, "e")),
        ("adopt/9/d", adopt(9, "d")),
        ("heartbeat/s1/2", register("s1", 2)),
        ("heartbeat/s2/1", register("s2", 1)),
        ("depart/s3", deregister("s3")),
    ];
    for (i, (key, command)) in (0..).zip(writes) {
        write(cluster, keeper, token + i, key, command);
    }
    cluster.request(keeper, token + 8, Request::ReadDocument);
    cluster.request(keeper, token + 9, Request::ReadStore);
}

fn check_partition(partitioned_keeper: &str) {
    let mut cluster = Cluster::new(&["k1", "k2", "k3"]);
    cluster.run_for(6_000);
    write(&mut cluster, "k1", 1, "adopt/7/a", adopt(7, "a"));
    write(&mut cluster, "k1", 2, "heartbeat/s1/1", register("s1", 1));
    cluster.run_for(300);
    assert!(cluster.reply_to(1).is_some_and(|reply| is_answer(&reply)));
    assert!(cluster.reply_to(2).is_some_and(|reply| is_answer(&reply)));

    cluster.partitioned = vec![partitioned_keeper.into()];
    let until = cluster.now + PARTITION_DURATION;
    let mut token = FIRST_TOKEN;
    // Number of replies at the time when the other keepers had removed the partitioned one.
    let mut replies_before = None;
    while cluster.now < until {
        send_all_requests(&mut cluster, partitioned_keeper, token);
        token += TOKENS_PER_ROUND;
        cluster.run_for(ROUND_INTERVAL);
        let other_tail: Option<Name> = cluster.tail().filter(|tail| tail != partitioned_keeper);
        let Some(tail) = other_tail.filter(|tail| !cluster.view(tail).is_member(partitioned_keeper)) else {
            continue;
        };
        if replies_before.is_none() {
            // The other keepers continue: they adopt another document, remove s1 and add s3.
            let head = cluster.view(&tail).head().unwrap().to_string();
            write(&mut cluster, &head, 3, "adopt/8/c", adopt(8, "c"));
            write(&mut cluster, &head, 4, "depart/s1", deregister("s1"));
            write(&mut cluster, &head, 5, "heartbeat/s3/1", register("s3", 1));
            replies_before = Some(cluster.replies.len());
        }
    }
    assert!(
        (3..=5).all(|token| cluster.reply_to(token).is_some_and(|reply| is_answer(&reply))),
        "the other keepers continue without {partitioned_keeper}"
    );
    let during_partition = |sent: &&SentReply| sent.token >= FIRST_TOKEN;
    for SentReply { token, reply } in cluster.replies.iter().filter(during_partition) {
        assert!(!is_answer(reply), "{partitioned_keeper} is partitioned, but answers {token}: {reply:?}");
    }
    let replies_after = &cluster.replies[replies_before.unwrap()..];
    for SentReply { token, reply } in replies_after.iter().filter(during_partition) {
        let is_stale = matches!(reply, Reply::Document { .. } | Reply::Store { .. });
        assert!(
            !is_stale,
            "{partitioned_keeper} is partitioned, but returns stale state for {token}: {reply:?}"
        );
    }
    cluster.partitioned.clear();
    cluster.run_for(6_000);
    let tail = cluster.tail().unwrap();
    assert!(
        cluster.keepers[&tail].store.servers.contains_key("s3"),
        "the server that was registered meanwhile is still recorded"
    );
}

#[test]
fn a_head_gives_no_definite_answer_when_partitioned() {
    check_partition("k1");
}

#[test]
fn a_middle_member_gives_no_definite_answer_when_partitioned() {
    check_partition("k2");
}

#[test]
fn a_tail_gives_no_definite_answer_when_partitioned() {
    check_partition("k3");
}

/// A write that changes nothing appends no entry, and is still answered soon if a majority is reachable.
#[test]
fn an_answer_comes_within_100_ms_when_a_write_changes_nothing() {
    let mut cluster = Cluster::new(&["k1", "k2", "k3"]);
    cluster.run_for(6_000);
    write(&mut cluster, "k1", 1, "heartbeat/s1/1", register("s1", 1));
    cluster.run_for(300);
    let entries = cluster.keepers["k1"].store.last_change;
    for token in 2..40 {
        write(&mut cluster, "k1", token, &format!("heartbeat/s1/{token}"), register("s1", token));
        cluster.run_for(ROUND_INTERVAL);
        let reply = cluster.reply_to(token);
        assert!(matches!(reply, Some(Reply::Answer { answer: Answer::Done, .. })), "{token}: {reply:?}");
    }
    assert_eq!(cluster.keepers["k1"].store.last_change, entries);
}
