//! Catch-up of members that lack more entries than one message or the whole log contains.
mod cluster;
mod samples;

use cluster::Cluster;
use quincehatch_core::{ChangeNumber, Name};
use quincehatch_store::limits::{LOG_MAX_BYTES, LOG_MAX_ENTRIES, TRANSFER_MAX_BYTES};
use quincehatch_store::{Answer, Command, Reply, Request};
use samples::{adopt, document, noise};
use std::time::Instant;

const NAMES: [&str; 3] = ["a", "b", "c"];
/// Bytes allowed for the fields of a message other than the entries or the snapshot part.
const MAX_ENVELOPE_BYTES: usize = 8 << 10;

/// Returns a chain that serves and from whose view the stopped keeper `behind` was removed.
fn chain_without(behind: &str) -> Cluster {
    let mut cluster = Cluster::new(&NAMES);
    cluster.run_for(3_000);
    cluster.down.push(behind.into());
    cluster.run_for(3_000);
    assert!(cluster.tail().is_some_and(|tail| !cluster.view(&tail).is_member(behind)));
    cluster
}

fn write(cluster: &mut Cluster, number: u64, command: Command) {
    let tail = cluster.tail().expect("a tail serves");
    let head = cluster.view(&tail).head().cloned().unwrap();
    cluster.request(&head, number, Request::Write { key: format!("key/{number}").into(), command });
    cluster.run_for(40);
    let reply = cluster.reply_to(number);
    assert!(!matches!(reply, Some(Reply::Answer { answer: Answer::Rejected(_), .. })), "{reply:?}");
    cluster.replies.clear();
}

fn fence(number: u64) -> Command {
    Command::AcquireFence { duty: format!("duty/{}", number % 7).into(), by: "t".into() }
}

/// Runs until `name` has the change, and returns the length of the longest message sent meanwhile, in bytes.
fn longest_message_until(cluster: &mut Cluster, name: &str, change: ChangeNumber) -> usize {
    cluster.sent_frame_lengths.clear();
    for _ in 0..50 {
        cluster.run_for(200);
        if cluster.keepers[name].store.last_change >= change && cluster.keepers[name].view.is_member(name) {
            return cluster.sent_frame_lengths.iter().copied().max().unwrap_or_default();
        }
    }
    panic!(
        "{name} has {} of {change}, view {:?}",
        cluster.keepers[name].store.last_change, cluster.keepers[name].view
    );
}

fn assert_caught_up(cluster: &Cluster, name: &str) {
    let tail = cluster.tail().expect("a tail serves");
    assert_eq!(cluster.keepers[name].store, cluster.keepers[&tail].store);
    assert_eq!(cluster.disks[&Name::from(name)].store, cluster.keepers[&tail].store, "on disk");
}

#[test]
fn the_log_in_memory_stays_bounded_when_entries_are_large_or_many() {
    let mut cluster = Cluster::new(&NAMES);
    cluster.run_for(3_000);
    for number in 1..=60 {
        write(&mut cluster, number, adopt(number, noise(number)));
        let status = cluster.keepers["a"].status();
        assert!(status.log.bytes <= LOG_MAX_BYTES as u64, "change {number}: {} bytes", status.log.bytes);
    }
    for number in 61..=61 + LOG_MAX_ENTRIES as u64 {
        write(&mut cluster, number, fence(number));
    }
    assert_eq!(cluster.keepers["a"].status().log.entries, LOG_MAX_ENTRIES as u64);
}

#[test]
fn a_member_gets_a_snapshot_in_parts_when_it_returns_after_thousands_of_changes() {
    let mut cluster = chain_without("c");
    for number in 1..=2_000 {
        let command = if number % 50 == 0 { adopt(number, noise(number)) } else { fence(number) };
        write(&mut cluster, number, command);
    }
    cluster.down.clear();
    let longest = longest_message_until(&mut cluster, "c", 2_000);
    assert!(longest > TRANSFER_MAX_BYTES, "the snapshot was sent in one part: {longest}");
    assert!(longest <= TRANSFER_MAX_BYTES + MAX_ENVELOPE_BYTES, "{longest}");
    cluster.run_for(1_000);
    assert_caught_up(&cluster, "c");
}

/// Returns a chain whose head has appended `changes` entries while its messages to the other members were lost.
fn chain_behind_its_head(changes: u64) -> Cluster {
    let mut cluster = Cluster::new(&NAMES);
    cluster.run_for(3_000);
    for number in 1..=changes {
        cluster.request(
            "a",
            number,
            Request::Write { key: format!("key/{number}").into(), command: adopt(number, noise(number)) },
        );
        cluster.in_flight.clear();
    }
    assert_eq!(
        (cluster.keepers["a"].store.last_change, cluster.keepers["b"].store.last_change),
        (changes, 0)
    );
    cluster
}

/// Members of the view lack more entries than fit into one message.
#[test]
fn messages_stay_far_below_the_longest_frame_when_members_lack_many_entries() {
    let mut cluster = chain_behind_its_head(20);
    let longest = longest_message_until(&mut cluster, "c", 20);
    assert!(longest <= TRANSFER_MAX_BYTES + MAX_ENVELOPE_BYTES, "{longest}");
    for name in NAMES {
        assert_caught_up(&cluster, name);
    }
}

/// Members of the view lack more entries than the log contains.
#[test]
fn members_get_a_snapshot_in_parts_when_they_lack_more_than_the_log_holds() {
    let mut cluster = chain_behind_its_head(60);
    let longest = longest_message_until(&mut cluster, "c", 60);
    assert!(longest <= TRANSFER_MAX_BYTES + MAX_ENVELOPE_BYTES, "{longest}");
    for name in NAMES {
        assert_caught_up(&cluster, name);
    }
}

/// Some parts of the snapshot are lost.
#[test]
fn a_snapshot_is_requested_again_when_parts_of_it_are_lost() {
    let mut cluster = chain_without("c");
    for number in 1..=700 {
        let command = if number % 50 == 0 { adopt(number, noise(number)) } else { fence(number) };
        write(&mut cluster, number, command);
    }
    cluster.down.clear();
    cluster.remaining_snapshot_losses = 3;
    longest_message_until(&mut cluster, "c", 700);
    assert_eq!(cluster.remaining_snapshot_losses, 0);
    cluster.run_for(1_000);
    assert_caught_up(&cluster, "c");
}

/// `cargo test --release -p quincehatch-store --test catch_up -- --ignored --nocapture` prints the rows of docs/measurements.md.
#[test]
#[ignore = "prints a table of measurements; the tests above decide"]
fn cost_of_catching_up_by_number_of_changes() {
    println!("| changes missed | bytes | messages | longest | processor ms | log in memory, bytes |");
    for changes in [10, 100, 1_000, 5_000] {
        let mut cluster = chain_without("c");
        for number in 1..=changes {
            write(&mut cluster, number, adopt(number, document(number)));
        }
        cluster.down.clear();
        let started_at = Instant::now();
        let longest = longest_message_until(&mut cluster, "c", changes);
        let (elapsed_ms, sent) = (started_at.elapsed().as_millis(), &cluster.sent_frame_lengths);
        let full: Vec<usize> = sent.iter().copied().filter(|length| *length > 1_000).collect();
        let (bytes, messages) = (full.iter().sum::<usize>(), full.len());
        let log = cluster.keepers["a"].status().log.bytes;
        println!("| {changes} | {bytes} | {messages} | {longest} | {elapsed_ms} | {log} |");
    }
}
