//! The size of the data directory stays limited, however many documents are adopted.
mod samples;

use quincehatch_store::entry_log::PackedEntry;
use quincehatch_store::record::Record;
use quincehatch_store::storage::disk::{Disk, OpenedDisk};
use quincehatch_store::storage::stable_storage::StableStorage;
use quincehatch_store::{Store, View};
use samples::{document, entry, noise};
use std::path::PathBuf;
use std::time::Instant;

const MIB: u64 = 1 << 20;

struct DataDirectory(PathBuf);

impl DataDirectory {
    fn new(name: &str) -> DataDirectory {
        let path = std::env::temp_dir().join(format!("quincehatch-space-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        DataDirectory(path)
    }
    fn create(&self, allowed: u64) -> Disk {
        let view = View { version: 1, members: vec!["k1".into()], voters: vec![] };
        Disk::create(&self.0, "k1", view).unwrap().disk.with_size_limit(allowed)
    }
    fn open(&self, allowed: u64) -> OpenedDisk {
        let opened = Disk::open(&self.0, "k1", None).unwrap();
        OpenedDisk { disk: opened.disk.with_size_limit(allowed), ..opened }
    }
}

impl Drop for DataDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Applies one more change and saves it, as a keeper does.
fn save_change(disk: &mut Disk, store: &mut Store, text: String) {
    let entry = entry(store.last_change + 1, text);
    store.apply(&entry).unwrap();
    disk.save(&[Record::Entry { entry: PackedEntry::pack(&entry) }]).unwrap();
    if disk.is_snapshot_due() {
        disk.write_snapshot(store).unwrap();
    }
}

#[test]
fn most_of_the_allowed_size_stays_free_when_hundreds_of_large_documents_are_adopted() {
    let allowed = 16 * MIB;
    let directory = DataDirectory::new("flat");
    let mut disk = directory.create(allowed);
    let mut store = Store::default();
    let mut largest = 0;
    for number in 1..=400 {
        // Documents that are barely compressible are the worst case.
        save_change(&mut disk, &mut store, if number % 2 == 0 { noise(number) } else { document(number) });
        largest = largest.max(disk.usage().used);
        assert!(!disk.usage().is_reserve_in_use(), "change {number}: {:?}", disk.usage());
    }
    println!("largest {largest} of {allowed}");
    drop(disk);
    let OpenedDisk { state, .. } = directory.open(allowed);
    assert_eq!(state.store, store);
}

/// The size of the log includes the entries from before the start of the process.
#[test]
fn the_directory_stays_small_when_the_process_restarts_after_every_change() {
    let allowed = 16 * MIB;
    let directory = DataDirectory::new("restarts");
    drop(directory.create(allowed));
    let mut expected = Store::default();
    for number in 1..=120 {
        let OpenedDisk { mut disk, state, .. } = directory.open(allowed);
        assert_eq!(state.store, expected, "before change {number}");
        save_change(&mut disk, &mut expected, noise(number));
        assert!(!disk.usage().is_reserve_in_use(), "change {number}: {:?}", disk.usage());
    }
}

#[test]
fn a_snapshot_is_due_by_number_when_entries_are_small() {
    let directory = DataDirectory::new("number");
    let mut disk = directory.create(64 * MIB);
    let mut store = Store::default();
    for number in 1..=128 {
        assert!(!disk.is_snapshot_due(), "after {} entries", number - 1);
        let entry = entry(number, "text".into());
        store.apply(&entry).unwrap();
        disk.save(&[Record::Entry { entry: PackedEntry::pack(&entry) }]).unwrap();
    }
    assert!(disk.is_snapshot_due());
}

/// `cargo test --release -p quincehatch-store --test disk_space -- --ignored --nocapture` prints the rows of docs/measurements.md.
#[test]
#[ignore = "prints a table of measurements; the tests above decide"]
fn sizes_by_number_of_changes() {
    let allowed = 64 * MIB;
    let directory = DataDirectory::new("table");
    let mut disk = directory.create(allowed);
    let mut store = Store::default();
    let started_at = Instant::now();
    println!("| changes | file bytes | largest so far | log in memory, bytes | load ms | ms a change |");
    let mut largest = 0;
    for number in 1..=5_000 {
        save_change(&mut disk, &mut store, document(number));
        largest = largest.max(disk.usage().used);
        if [10, 100, 300, 1_000, 5_000].contains(&number) {
            let ms_per_change = started_at.elapsed().as_millis() as f64 / number as f64;
            let used = disk.usage().used;
            drop(disk);
            let load_started_at = Instant::now();
            let OpenedDisk { disk: reopened, state, .. } = directory.open(allowed);
            let load_ms = load_started_at.elapsed().as_millis();
            disk = reopened;
            println!(
                "| {number} | {used} | {largest} | {} | {load_ms} | {ms_per_change:.1} |",
                state.log.bytes()
            );
        }
    }
}
