//! The data folder stays small, however many documents were taken (§5.7).
mod samples;

use quincehatch_store::disk::Disk;
use quincehatch_store::disk_port::StableStorage;
use quincehatch_store::entry_log::PackedEntry;
use quincehatch_store::keeper::{Record, RecoveredState};
use quincehatch_store::{Store, View};
use samples::{document, entry, noise};
use std::path::PathBuf;
use std::time::Instant;

const MIB: u64 = 1 << 20;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("quincehatch-space-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }
    fn make(&self, allowed: u64) -> Disk {
        let view = View { version: 1, members: vec!["k1".into()], voters: vec![] };
        Disk::create(&self.0, "k1", view).unwrap().0.with_size_limit(allowed)
    }
    fn open(&self, allowed: u64) -> (Disk, RecoveredState) {
        let (disk, state) = Disk::open(&self.0, "k1", None).unwrap();
        (disk.with_size_limit(allowed), state)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// One more change, as a keeper saves it.
fn change(disk: &mut Disk, store: &mut Store, text: String) {
    let entry = entry(store.last_change + 1, text);
    store.apply(&entry).unwrap();
    disk.save(&[Record::Entry { entry: PackedEntry::pack(&entry) }]).unwrap();
    if disk.is_snapshot_due() {
        disk.write_snapshot(store).unwrap();
    }
}

#[test]
fn hundreds_of_large_documents_leave_most_of_the_allowed_size_free() {
    let allowed = 16 * MIB;
    let folder = Folder::new("flat");
    let mut disk = folder.make(allowed);
    let mut store = Store::default();
    let mut largest = 0;
    for n in 1..=400 {
        // Documents that hardly pack are the worst case.
        change(&mut disk, &mut store, if n % 2 == 0 { noise(n) } else { document(n) });
        largest = largest.max(disk.usage().used);
        assert!(!disk.usage().is_reserve_touched(), "change {n}: {:?}", disk.usage());
    }
    println!("largest {largest} of {allowed}");
    drop(disk);
    let (_, state) = folder.open(allowed);
    assert_eq!(state.store, store);
}

/// The size of the log counts from what the file holds, not from the start of the process.
#[test]
fn a_process_that_is_started_anew_after_every_change_keeps_the_folder_small_too() {
    let allowed = 16 * MIB;
    let folder = Folder::new("restarts");
    drop(folder.make(allowed));
    let mut expected = Store::default();
    for n in 1..=120 {
        let (mut disk, state) = folder.open(allowed);
        assert_eq!(state.store, expected, "before change {n}");
        change(&mut disk, &mut expected, noise(n));
        assert!(!disk.usage().is_reserve_touched(), "change {n}: {:?}", disk.usage());
    }
}

#[test]
fn small_entries_call_for_a_snapshot_by_their_number() {
    let folder = Folder::new("number");
    let mut disk = folder.make(64 * MIB);
    let mut store = Store::default();
    for n in 1..=128 {
        assert!(!disk.is_snapshot_due(), "after {} entries", n - 1);
        let entry = entry(n, "text".into());
        store.apply(&entry).unwrap();
        disk.save(&[Record::Entry { entry: PackedEntry::pack(&entry) }]).unwrap();
    }
    assert!(disk.is_snapshot_due());
}

/// `cargo test --release -p quincehatch-store --test space -- --ignored --nocapture` prints the rows of docs/measurements.md.
#[test]
#[ignore = "prints a table of measurements; the tests above decide"]
fn sizes_by_number_of_changes() {
    let allowed = 64 * MIB;
    let folder = Folder::new("table");
    let mut disk = folder.make(allowed);
    let mut store = Store::default();
    let began = Instant::now();
    println!("| changes | file bytes | largest so far | log in memory, bytes | load ms | ms a change |");
    let mut largest = 0;
    for n in 1..=5_000 {
        change(&mut disk, &mut store, document(n));
        largest = largest.max(disk.usage().used);
        if [10, 100, 300, 1_000, 5_000].contains(&n) {
            let a_change = began.elapsed().as_millis() as f64 / n as f64;
            let used = disk.usage().used;
            drop(disk);
            let opened = Instant::now();
            let (again, state) = folder.open(allowed);
            let load = opened.elapsed().as_millis();
            disk = again;
            println!("| {n} | {used} | {largest} | {} | {load} | {a_change:.1} |", state.log.bytes());
        }
    }
}
