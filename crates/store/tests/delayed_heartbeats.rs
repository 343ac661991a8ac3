//! Heartbeats that arrive after the departure of their server.
//!
//! Guards against a delayed heartbeat that registers a departed server again: nodes sent work to a server that had
//! deregistered, until it ended. Heartbeats that change nothing are not recorded, so their numbers are far above the
//! recorded one once a server has run for a while.
mod server_records;

use quincehatch_core::ServerRecord;
use quincehatch_store::feed::FeedEvent;
use quincehatch_store::{Answer, Command, Entry, Store};
use server_records::record;

/// Number of the heartbeat that registered the servers below, and of the last one that they sent.
const RECORDED: u64 = 10;
const LAST_SENT: u64 = 1_000;
/// Number of heartbeats after which a server that goes on is registered again.
const REFUSED_HEARTBEATS: u64 = 64;

fn write(store: &mut Store, command: Command) -> FeedEvent {
    let number = store.last_change + 1;
    let entry = Entry { number, key: format!("{number}").into(), command };
    let applied = store.apply_with_event(&entry).unwrap();
    assert_eq!(applied.answer, Answer::Done);
    applied.event
}

/// Sends a heartbeat as the head of the chain does: only if it changes the store. Returns whether it needed an entry.
fn heartbeat(store: &mut Store, record: ServerRecord) -> bool {
    let command = Command::RegisterServer { at: record };
    let needs_entry = store.no_op_answer(&command).is_none();
    if needs_entry {
        write(store, command);
    }
    needs_entry
}

/// Returns a store with a server that has sent heartbeats without a change for a long time.
fn store_with_server() -> Store {
    let mut store = Store::default();
    assert!(heartbeat(&mut store, record("b", "2", RECORDED)));
    for seq in RECORDED + 1..=LAST_SENT {
        assert!(!heartbeat(&mut store, record("b", "2", seq)), "heartbeat {seq} changes nothing");
    }
    store
}

fn deregister(store: &mut Store, server: &str) {
    write(store, Command::DeregisterServer { server: server.into() });
}

#[test]
fn a_server_that_deregistered_stays_away_when_its_last_heartbeats_are_delayed() {
    let mut store = store_with_server();
    deregister(&mut store, "b");
    for late in [LAST_SENT - 1, LAST_SENT + 2, LAST_SENT, RECORDED, LAST_SENT + 1] {
        heartbeat(&mut store, record("b", "2", late));
        assert!(!store.servers.contains_key("b"), "heartbeat {late}");
    }
    let draining = ServerRecord { draining: true, ..record("b", "2", LAST_SENT + 3) };
    heartbeat(&mut store, draining);
    assert!(!store.servers.contains_key("b"), "its notice of draining comes after its deregistration");
}

#[test]
fn nodes_receive_no_change_when_a_heartbeat_is_delayed() {
    let mut store = store_with_server();
    deregister(&mut store, "b");
    let event = write(&mut store, Command::RegisterServer { at: record("b", "2", LAST_SENT) });
    assert_eq!(event, FeedEvent::Other);
}

#[test]
fn at_most_one_delayed_heartbeat_of_a_departure_needs_an_entry() {
    let mut store = store_with_server();
    deregister(&mut store, "b");
    let late = LAST_SENT - 5..=LAST_SENT;
    let entries = late.filter(|seq| heartbeat(&mut store, record("b", "2", *seq))).count();
    assert!(entries <= 1, "{entries} entries");
}

#[test]
fn the_server_at_an_address_keeps_it_when_a_heartbeat_of_the_one_before_is_delayed() {
    for leaves_in_order in [true, false] {
        let mut store = store_with_server();
        if leaves_in_order {
            deregister(&mut store, "b");
        }
        heartbeat(&mut store, record("b2", "2", 1));
        for late in [LAST_SENT, LAST_SENT + 1] {
            heartbeat(&mut store, record("b", "2", late));
            assert!(store.servers.contains_key("b2"), "in order {leaves_in_order}, heartbeat {late}");
            assert!(!store.servers.contains_key("b"), "in order {leaves_in_order}, heartbeat {late}");
        }
    }
}

#[test]
fn a_server_that_goes_on_after_its_departure_is_registered_again() {
    let mut store = store_with_server();
    deregister(&mut store, "b");
    for seq in LAST_SENT..LAST_SENT + REFUSED_HEARTBEATS {
        heartbeat(&mut store, record("b", "2", seq));
        assert!(!store.servers.contains_key("b"), "heartbeat {seq}");
    }
    heartbeat(&mut store, record("b", "2", LAST_SENT + REFUSED_HEARTBEATS));
    assert!(store.servers.contains_key("b"));
    // After its next departure the same holds again.
    deregister(&mut store, "b");
    heartbeat(&mut store, record("b", "2", LAST_SENT + 2 * REFUSED_HEARTBEATS));
    assert!(!store.servers.contains_key("b"));
}
