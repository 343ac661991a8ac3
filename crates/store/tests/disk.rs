//! The keeper's data folder (§5.7): what it keeps, and what it declines to serve from.
use quincehatch_core::{ErrorCode, hash64};
use quincehatch_store::disk::Disk;
use quincehatch_store::disk_port::StableStorage;
use quincehatch_store::entry_log::PackedEntry;
use quincehatch_store::keeper::Record;
use quincehatch_store::{Command, Entry, Store, View};
use std::path::PathBuf;

struct Dir(PathBuf);

impl Dir {
    fn new(name: &str) -> Dir {
        let d = std::env::temp_dir().join(format!("quincehatch-disk-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&d);
        Dir(d)
    }
    fn file(&self) -> PathBuf {
        self.0.join("keeper.redb")
    }
}
impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn view() -> View {
    View { version: 1, members: vec!["k1".into()], voters: vec![] }
}

fn entry(n: u64) -> Entry {
    let cmd = Command::PushConfiguration { base: n - 1, text: format!("text {n}"), by: "t".into() };
    Entry { number: n, key: format!("key{n}").into(), command: cmd }
}

/// A folder with three entries in it.
fn filled(d: &Dir) {
    let (mut disk, _) = Disk::open(&d.0, "k1", Some(view())).unwrap();
    for n in 1..=3 {
        disk.save(&[Record::Entry { entry: PackedEntry::pack(&entry(n)) }]).unwrap();
    }
}

fn declined(d: &Dir, name: &str, first: Option<View>, want: &str) {
    let b = Disk::open(&d.0, name, first).map(|_| ()).expect_err("it was opened");
    assert!(b.has_code(ErrorCode::DataDirectoryUnusable) && b.text.contains(want), "{b}");
}

#[test]
fn what_was_saved_is_there_again() {
    let d = Dir::new("again");
    filled(&d);
    let (mut disk, f) = Disk::open(&d.0, "k1", None).unwrap();
    assert_eq!((f.view, f.store.configuration_version(), f.log.len()), (view(), 3, 3));
    let mut store = f.store.clone();
    for n in 4..=400 {
        disk.save(&[Record::Entry { entry: PackedEntry::pack(&entry(n)) }]).unwrap();
        store.apply(&entry(n)).unwrap();
        if disk.is_snapshot_due() {
            disk.write_snapshot(&store).unwrap();
        }
    }
    drop(disk);
    let (_, f) = Disk::open(&d.0, "k1", None).unwrap();
    assert_eq!(f.store, store);
}

#[test]
fn empty_foreign_and_used_folders_are_declined() {
    let d = Dir::new("declined");
    declined(&d, "k1", None, "holds no data of a keeper");
    filled(&d);
    declined(&d, "k1", Some(view()), "holds data already");
    declined(&d, "k2", None, "belongs to the keeper \"k1\"");
}

#[test]
fn damaged_and_torn_files_are_named_and_not_served_from() {
    for (what, hurt) in [
        ("torn", (|b: &mut Vec<u8>| b.truncate(b.len() / 2)) as fn(&mut Vec<u8>)),
        ("header", |b| b[..64].fill(7)),
        ("text", |b| {
            // One byte within a record's own text.
            let at = b.windows(6).position(|w| w == b"text 2").unwrap();
            b[at] = b'T';
        }),
    ] {
        let d = Dir::new(what);
        filled(&d);
        let mut b = std::fs::read(d.file()).unwrap();
        let whole = b.clone();
        // Every copy of the record is hurt: old pages may hold it too.
        loop {
            let before = b.clone();
            if what == "text" && !b.windows(6).any(|w| w == b"text 2") {
                break;
            }
            hurt(&mut b);
            if what != "text" || b == before {
                break;
            }
        }
        assert_ne!(b, whole);
        std::fs::write(d.file(), &b).unwrap();
        declined(&d, "k1", None, "");
    }
}

#[test]
fn a_folder_tells_whose_it_is_and_a_half_made_one_is_empty() {
    let d = Dir::new("whose");
    assert!(Disk::open_existing(&d.0).unwrap().is_none());
    std::fs::create_dir_all(&d.0).unwrap();
    for half in [&b""[..], b"redb\x1a\x0a\xa9\x0d\x0a and then a kill", &[0; 4_096]] {
        std::fs::write(d.0.join("keeper.half"), half).unwrap();
        assert!(Disk::open_existing(&d.0).unwrap().is_none());
    }
    let (disk, found) = Disk::create(&d.0, "k1#5", view()).unwrap();
    assert_eq!(found.view, view());
    drop(disk);
    let (name, _, found) = Disk::open_existing(&d.0).unwrap().unwrap();
    assert_eq!((name.as_str(), found.view), ("k1#5", view()));
    assert_eq!(std::fs::read_dir(&d.0).unwrap().count(), 1);
}

/// A file that is away for a while, as one on a disk that refuses is.
#[test]
fn a_folder_that_cannot_be_opened_is_recovered_once_it_can() {
    let d = Dir::new("recover");
    filled(&d);
    let (mut disk, found) = Disk::open(&d.0, "k1", None).unwrap();
    let away = d.0.join("away");
    std::fs::rename(d.file(), &away).unwrap();
    for _ in 0..2 {
        let error = disk.recover().map(|_| ()).expect_err("there is no file");
        assert!(error.has_code(ErrorCode::DiskFailed), "{error}");
        let refused = disk.save(&[Record::Served { version: 9 }]).expect_err("it is not open");
        assert!(refused.has_code(ErrorCode::DiskFailed), "{refused}");
    }
    std::fs::rename(&away, d.file()).unwrap();
    let recovered = disk.recover().unwrap();
    assert_eq!((&recovered.store, &recovered.view), (&found.store, &found.view));
    disk.save(&[Record::Entry { entry: PackedEntry::pack(&entry(4)) }]).unwrap();
    drop(disk);
    assert_eq!(Disk::open(&d.0, "k1", None).unwrap().1.store.last_change, 4);
}

/// Folders of versions that kept the store and the entries unpacked.
#[test]
fn a_folder_of_an_earlier_version_is_read_and_replaced_by_the_first_snapshot() {
    let d = Dir::new("earlier");
    drop(Disk::create(&d.0, "k1", view()).unwrap());
    let mut store = Store::default();
    store.apply(&entry(1)).unwrap();
    write_earlier_version(&d, &store, &[entry(1), entry(2), entry(3)]);
    store.apply(&entry(2)).unwrap();
    store.apply(&entry(3)).unwrap();
    let (mut disk, state) = Disk::open(&d.0, "k1", None).unwrap();
    assert_eq!((&state.store, state.log.len()), (&store, 3));
    disk.write_snapshot(&store).unwrap();
    disk.save(&[Record::Entry { entry: PackedEntry::pack(&entry(4)) }]).unwrap();
    drop(disk);
    store.apply(&entry(4)).unwrap();
    assert_eq!(Disk::open(&d.0, "k1", None).unwrap().1.store, store);
}

fn with_checksum(value: &impl borsh::BorshSerialize) -> Vec<u8> {
    let body = borsh::to_vec(value).unwrap();
    [&hash64(&[&body]).to_le_bytes()[..], &body].concat()
}

fn write_earlier_version(d: &Dir, store: &Store, entries: &[Entry]) {
    const META: redb::TableDefinition<&str, &[u8]> = redb::TableDefinition::new("meta");
    const LOG: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("log");
    let db = redb::Database::open(d.file()).unwrap();
    let tx = db.begin_write().unwrap();
    tx.open_table(META).unwrap().insert("whole", with_checksum(store).as_slice()).unwrap();
    for entry in entries {
        tx.open_table(LOG).unwrap().insert(entry.number, with_checksum(entry).as_slice()).unwrap();
    }
    tx.commit().unwrap();
}
