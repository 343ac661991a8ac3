//! Tests all interleavings of a few threads on the connection slots and the latest-value cell. Run with
//! `RUSTFLAGS="--cfg qh_loom"`.
#![cfg(qh_loom)]
use loom::sync::Arc;
use loom::thread;
use quincehatch_proxy::latest::{Latest, Numbered};
use quincehatch_proxy::slots::{ConnectionSlots, ConnectionUse, Grant, SlotCounts};

/// The number of a connection that a test opens itself.
const NEW_CONNECTION: u32 = 7;

fn check_out(
    slots: &ConnectionSlots<u32>,
    usage: ConnectionUse,
    capacity: usize,
    read_share: usize,
) -> Option<u32> {
    match slots.check_out(usage, capacity, read_share, |_| true) {
        Grant::Idle(connection) => Some(connection),
        Grant::OpenNew => Some(NEW_CONNECTION),
        Grant::Full => None,
    }
}

#[test]
fn connections_never_pass_the_limit_and_none_is_lost_when_two_threads_share_them() {
    loom::model(|| {
        let slots = Arc::new(ConnectionSlots::<u32>::default());
        let mut threads = Vec::new();
        for _ in 0..2 {
            let slots = slots.clone();
            threads.push(thread::spawn(move || {
                if let Some(connection) = check_out(&slots, ConnectionUse::Write, 1, 1) {
                    assert!(slots.count().open <= 1);
                    assert!(slots.check_in(ConnectionUse::Write, 1, connection).is_none());
                }
            }));
        }
        for thread in threads {
            thread.join().unwrap();
        }
        assert_eq!(slots.count(), SlotCounts { open: 1, idle: 1 });
    });
}

#[test]
fn a_read_never_takes_more_than_its_share_when_writes_come_and_go() {
    loom::model(|| {
        let slots = Arc::new(ConnectionSlots::<u32>::default());
        let read_slots = slots.clone();
        let reads = thread::spawn(move || {
            let one = check_out(&read_slots, ConnectionUse::Read, 2, 1);
            let two = check_out(&read_slots, ConnectionUse::Read, 2, 1);
            assert!(one.is_none() || two.is_none());
            one.or(two).map(|connection| read_slots.check_in(ConnectionUse::Read, 2, connection));
        });
        let write_slots = slots.clone();
        let writes = thread::spawn(move || {
            if check_out(&write_slots, ConnectionUse::Write, 2, 1).is_some() {
                write_slots.release(ConnectionUse::Write);
            }
        });
        reads.join().unwrap();
        writes.join().unwrap();
        let SlotCounts { open, idle } = slots.count();
        assert_eq!(open, idle);
        assert!(open <= 2);
    });
}

#[test]
fn no_connection_is_left_behind_when_closing_races_with_a_check_in() {
    loom::model(|| {
        let slots = Arc::new(ConnectionSlots::<u32>::default());
        let connection = check_out(&slots, ConnectionUse::Write, 2, 1).unwrap();
        let returning_slots = slots.clone();
        let returning =
            thread::spawn(move || drop(returning_slots.check_in(ConnectionUse::Write, 2, connection)));
        let closing_slots = slots.clone();
        let closing = thread::spawn(move || drop(closing_slots.close()));
        returning.join().unwrap();
        closing.join().unwrap();
        assert_eq!(slots.count(), SlotCounts { open: 0, idle: 0 });
        assert!(check_out(&slots, ConnectionUse::Write, 2, 1).is_none());
    });
}

struct Number(u64);

impl Numbered for Number {
    fn newer_or_same(&self, than: &Self) -> bool {
        self.0 >= than.0
    }
}

#[test]
fn the_latest_value_never_goes_back_when_writers_race() {
    loom::model(|| {
        let cell = Arc::new(Latest::new(Number(1)));
        let mut writers = Vec::new();
        for number in [3, 2] {
            let cell = cell.clone();
            writers.push(thread::spawn(move || cell.set(Number(number), |_, _| ())));
        }
        let first = cell.get().0;
        let then = cell.get().0;
        assert!(then >= first);
        for writer in writers {
            drop(writer.join());
        }
        assert_eq!(cell.get().0, 3);
    });
}
