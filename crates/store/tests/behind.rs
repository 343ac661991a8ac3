//! A member that is behind by more than one message, or by more than the log holds, catches up (§5.7).
mod kit;
mod samples;

use kit::Net;
use quincehatch_core::{ChangeNumber, Name};
use quincehatch_store::limits::{LOG_MAX_BYTES, LOG_MAX_ENTRIES, TRANSFER_MAX_BYTES};
use quincehatch_store::{Answer, Command, Reply, Request};
use samples::{adopt, document, noise};
use std::time::Instant;

const NAMES: [&str; 3] = ["a", "b", "c"];
/// Room for the fields beside the entries or the snapshot's bytes.
const ENVELOPE: usize = 8 << 10;

/// A chain that serves, and whose member `behind` is out of the view.
fn chain_without(behind: &str) -> Net {
    let mut net = Net::new(&NAMES);
    net.run(3_000);
    net.down.push(behind.into());
    net.run(3_000);
    assert!(net.tail().is_some_and(|tail| !net.view(&tail).is_member(behind)));
    net
}

fn write(net: &mut Net, number: u64, command: Command) {
    let tail = net.tail().expect("a tail serves");
    let head = net.view(&tail).head().cloned().unwrap();
    net.ask(&head, number, Request::Write { key: format!("key/{number}").into(), command: command });
    net.run(40);
    let reply = net.rep(number);
    assert!(!matches!(reply, Some(Reply::Answer { answer: Answer::Rejected(_), .. })), "{reply:?}");
    net.reps.clear();
}

fn fence(number: u64) -> Command {
    Command::AcquireFence { duty: format!("duty/{}", number % 7).into(), by: "t".into() }
}

/// The longest message that was sent from now on until `name` holds change `n`.
fn longest_message_until(net: &mut Net, name: &str, n: ChangeNumber) -> usize {
    net.sent_lengths.clear();
    for _ in 0..50 {
        net.run(200);
        if net.ks[name].store.last_change >= n && net.ks[name].view.is_member(name) {
            return net.sent_lengths.iter().copied().max().unwrap_or_default();
        }
    }
    panic!("{name} has {} of {n}, view {:?}", net.ks[name].store.last_change, net.ks[name].view);
}

fn caught_up(net: &Net, name: &str) {
    let tail = net.tail().expect("a tail serves");
    assert_eq!(net.ks[name].store, net.ks[&tail].store);
    assert_eq!(net.disks[&Name::from(name)].store, net.ks[&tail].store, "on disk");
}

/// Each member holds its log within the bounds, whatever the entries' size.
#[test]
fn the_log_in_memory_is_bounded_in_bytes_and_in_number() {
    let mut net = Net::new(&NAMES);
    net.run(3_000);
    for n in 1..=60 {
        write(&mut net, n, adopt(n, noise(n)));
        let status = net.ks["a"].status();
        assert!(status.log.bytes <= LOG_MAX_BYTES as u64, "change {n}: {} bytes", status.log.bytes);
    }
    for n in 61..=61 + LOG_MAX_ENTRIES as u64 {
        write(&mut net, n, fence(n));
    }
    assert_eq!(net.ks["a"].status().log.entries, LOG_MAX_ENTRIES as u64);
}

#[test]
fn whoever_comes_back_after_thousands_of_changes_takes_a_snapshot_in_parts() {
    let mut net = chain_without("c");
    for n in 1..=2_000 {
        let command = if n % 50 == 0 { adopt(n, noise(n)) } else { fence(n) };
        write(&mut net, n, command);
    }
    net.down.clear();
    let longest = longest_message_until(&mut net, "c", 2_000);
    assert!(longest > TRANSFER_MAX_BYTES, "the snapshot took one part: {longest}");
    assert!(longest <= TRANSFER_MAX_BYTES + ENVELOPE, "{longest}");
    net.run(1_000);
    caught_up(&net, "c");
}

/// A chain whose head took `changes` while its messages to the others were lost.
fn chain_behind_its_head(changes: u64) -> Net {
    let mut net = Net::new(&NAMES);
    net.run(3_000);
    for n in 1..=changes {
        net.ask("a", n, Request::Write { key: format!("key/{n}").into(), command: adopt(n, noise(n)) });
        net.wire.clear();
    }
    assert_eq!((net.ks["a"].store.last_change, net.ks["b"].store.last_change), (changes, 0));
    net
}

/// Members within the view lack more entries than go into a message.
#[test]
fn entries_behind_a_member_go_in_messages_far_below_the_longest_frame() {
    let mut net = chain_behind_its_head(20);
    let longest = longest_message_until(&mut net, "c", 20);
    assert!(longest <= TRANSFER_MAX_BYTES + ENVELOPE, "{longest}");
    for name in NAMES {
        caught_up(&net, name);
    }
}

/// Members within the view lack more than the log holds.
#[test]
fn members_behind_the_log_take_a_snapshot_in_parts_and_go_on_from_there() {
    let mut net = chain_behind_its_head(60);
    let longest = longest_message_until(&mut net, "c", 60);
    assert!(longest <= TRANSFER_MAX_BYTES + ENVELOPE, "{longest}");
    for name in NAMES {
        caught_up(&net, name);
    }
}

/// Messages are lost, some of the parts among them.
#[test]
fn a_snapshot_whose_parts_are_lost_is_asked_for_again() {
    let mut net = chain_without("c");
    for n in 1..=700 {
        let command = if n % 50 == 0 { adopt(n, noise(n)) } else { fence(n) };
        write(&mut net, n, command);
    }
    net.down.clear();
    net.lose_parts = 3;
    longest_message_until(&mut net, "c", 700);
    assert_eq!(net.lose_parts, 0);
    net.run(1_000);
    caught_up(&net, "c");
}

/// `cargo test --release -p quincehatch-store --test behind -- --ignored --nocapture` prints the rows of docs/measurements.md.
#[test]
#[ignore = "prints a table of measurements; the tests above decide"]
fn cost_of_catching_up_by_number_of_changes() {
    println!("| changes missed | bytes | messages | longest | processor ms | log in memory, bytes |");
    for changes in [10, 100, 1_000, 5_000] {
        let mut net = chain_without("c");
        for n in 1..=changes {
            write(&mut net, n, adopt(n, document(n)));
        }
        net.down.clear();
        let began = Instant::now();
        let longest = longest_message_until(&mut net, "c", changes);
        let (took, sent) = (began.elapsed().as_millis(), &net.sent_lengths);
        let full: Vec<usize> = sent.iter().copied().filter(|length| *length > 1_000).collect();
        let (bytes, messages) = (full.iter().sum::<usize>(), full.len());
        let log = net.ks["a"].status().log.bytes;
        println!("| {changes} | {bytes} | {messages} | {longest} | {took} | {log} |");
    }
}
