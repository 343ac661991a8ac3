//! The data directory of a keeper: recovery after restarts, and rejection of unusable directories.
use quincehatch_core::{ErrorCode, hash64};
use quincehatch_store::entry_log::PackedEntry;
use quincehatch_store::record::Record;
use quincehatch_store::storage::disk::{Disk, OpenedDisk};
use quincehatch_store::storage::stable_storage::StableStorage;
use quincehatch_store::{Command, Entry, Store, View};
use std::path::PathBuf;

const KEEPER: &str = "k1";

/// A directory that is removed when the test ends.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("quincehatch-disk-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }

    fn file(&self) -> PathBuf {
        self.0.join("keeper.redb")
    }

    /// Opens the existing directory of the keeper.
    fn open(&self) -> OpenedDisk {
        Disk::open(&self.0, KEEPER, None).unwrap()
    }

    /// Creates the directory of the keeper with three entries.
    fn fill(&self) {
        let mut disk = Disk::open(&self.0, KEEPER, Some(first_view())).unwrap().disk;
        for number in 1..=3 {
            disk.save(&[entry_record(number)]).unwrap();
        }
    }

    fn with_three_entries(name: &str) -> Self {
        let directory = Self::new(name);
        directory.fill();
        directory
    }

    fn assert_rejected(&self, name: &str, first_view: Option<View>, reason: &str) {
        let error = Disk::open(&self.0, name, first_view).map(|_| ()).expect_err("it was opened");
        let is_rejected = error.has_code(ErrorCode::DataDirectoryUnusable);
        assert!(is_rejected && error.text.contains(reason), "{error}");
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn first_view() -> View {
    View { version: 1, members: vec![KEEPER.into()], voters: vec![] }
}

fn entry(number: u64) -> Entry {
    let text = format!("text {number}");
    let command = Command::PushConfiguration { base: number - 1, text, by: "t".into() };
    Entry { number, key: format!("key{number}").into(), command }
}

fn entry_record(number: u64) -> Record {
    Record::Entry { entry: PackedEntry::pack(&entry(number)) }
}

#[test]
fn saved_entries_are_read_when_the_directory_is_opened_again() {
    let directory = TestDirectory::with_three_entries("again");
    let OpenedDisk { mut disk, state, .. } = directory.open();
    assert_eq!(state.view, first_view());
    assert_eq!((state.store.configuration_version(), state.log.len()), (3, 3));
    let mut store = state.store;
    for number in 4..=400 {
        disk.save(&[entry_record(number)]).unwrap();
        store.apply(&entry(number)).unwrap();
        if disk.is_snapshot_due() {
            disk.write_snapshot(&store).unwrap();
        }
    }
    drop(disk);
    assert_eq!(directory.open().state.store, store);
}

#[test]
fn directory_is_rejected_when_empty_or_in_use_or_of_another_keeper() {
    let directory = TestDirectory::new("rejected");
    directory.assert_rejected(KEEPER, None, "contains no keeper data");
    directory.fill();
    directory.assert_rejected(KEEPER, Some(first_view()), "already contains data");
    directory.assert_rejected("k2", None, "belongs to the keeper \"k1\"");
}

/// Returns an offset of the second entry's text in the file.
fn find_entry_text(file: &[u8]) -> Option<usize> {
    const TEXT: &[u8] = b"text 2";
    file.windows(TEXT.len()).position(|window| window == TEXT)
}

fn assert_damage_is_detected(name: &str, damage: impl Fn(&mut Vec<u8>)) {
    let directory = TestDirectory::with_three_entries(name);
    let intact = std::fs::read(directory.file()).unwrap();
    let mut damaged = intact.clone();
    damage(&mut damaged);
    assert_ne!(damaged, intact);
    std::fs::write(directory.file(), &damaged).unwrap();
    directory.assert_rejected(KEEPER, None, "");
}

#[test]
fn file_is_rejected_when_torn_or_damaged() {
    assert_damage_is_detected("torn", |file| file.truncate(file.len() / 2));
    assert_damage_is_detected("header", |file| file[..64].fill(7));
    assert_damage_is_detected("text", |file| {
        assert!(find_entry_text(file).is_some());
        // Replaced pages may still contain the record, so every copy of it is damaged.
        while let Some(offset) = find_entry_text(file) {
            file[offset] = b'T';
        }
    });
}

#[test]
fn directory_names_its_owner_and_an_unfinished_one_counts_as_empty() {
    let directory = TestDirectory::new("owner");
    assert!(Disk::open_existing(&directory.0).unwrap().is_none());
    std::fs::create_dir_all(&directory.0).unwrap();
    for unfinished in [&b""[..], b"redb\x1a\x0a\xa9\x0d\x0a and then a kill", &[0; 4_096]] {
        std::fs::write(directory.0.join("keeper.half"), unfinished).unwrap();
        assert!(Disk::open_existing(&directory.0).unwrap().is_none());
    }
    let created = Disk::create(&directory.0, "k1#5", first_view()).unwrap();
    assert_eq!(created.state.view, first_view());
    drop(created);
    let found = Disk::open_existing(&directory.0).unwrap().unwrap();
    assert_eq!((found.owner.as_str(), found.state.view), ("k1#5", first_view()));
    assert_eq!(std::fs::read_dir(&directory.0).unwrap().count(), 1);
}

/// The file is moved away for a while, which has the same effect as a disk that does not accept writes.
#[test]
fn directory_is_recovered_when_the_file_can_be_opened_again() {
    let directory = TestDirectory::with_three_entries("recover");
    let OpenedDisk { mut disk, state: found, .. } = directory.open();
    let away = directory.0.join("away");
    std::fs::rename(directory.file(), &away).unwrap();
    for _ in 0..2 {
        let error = disk.recover().map(|_| ()).expect_err("there is no file");
        assert!(error.has_code(ErrorCode::DiskFailed), "{error}");
        let error = disk.save(&[Record::Served { version: 9 }]).expect_err("it is not open");
        assert!(error.has_code(ErrorCode::DiskFailed), "{error}");
    }
    std::fs::rename(&away, directory.file()).unwrap();
    let recovered = disk.recover().unwrap();
    assert_eq!((&recovered.store, &recovered.view), (&found.store, &found.view));
    disk.save(&[entry_record(4)]).unwrap();
    drop(disk);
    assert_eq!(directory.open().state.store.last_change, 4);
}

/// Earlier versions stored the store and the entries uncompressed.
#[test]
fn directory_of_an_earlier_version_is_read_and_replaced_by_the_first_snapshot() {
    let directory = TestDirectory::new("earlier");
    drop(Disk::create(&directory.0, KEEPER, first_view()).unwrap());
    let mut store = Store::default();
    store.apply(&entry(1)).unwrap();
    write_earlier_version(&directory, &store, &[entry(1), entry(2), entry(3)]);
    store.apply(&entry(2)).unwrap();
    store.apply(&entry(3)).unwrap();
    let OpenedDisk { mut disk, state, .. } = directory.open();
    assert_eq!((&state.store, state.log.len()), (&store, 3));
    disk.write_snapshot(&store).unwrap();
    disk.save(&[entry_record(4)]).unwrap();
    drop(disk);
    store.apply(&entry(4)).unwrap();
    assert_eq!(directory.open().state.store, store);
}

fn with_checksum(value: &impl borsh::BorshSerialize) -> Vec<u8> {
    let body = borsh::to_vec(value).unwrap();
    [&hash64(&[&body]).to_le_bytes()[..], &body].concat()
}

fn write_earlier_version(directory: &TestDirectory, store: &Store, entries: &[Entry]) {
    const META: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("meta");
    const LOG: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("log");
    let db = redb::Database::open(directory.file()).unwrap();
    let tx = db.begin_write().unwrap();
    tx.open_table(META).unwrap().insert("whole", with_checksum(store).as_slice()).unwrap();
    for entry in entries {
        tx.open_table(LOG).unwrap().insert(entry.number, with_checksum(entry).as_slice()).unwrap();
    }
    tx.commit().unwrap();
}
