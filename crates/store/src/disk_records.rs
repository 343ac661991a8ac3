//! Records of a keeper in its redb file: how each is written and read back (§5.7).
use crate::disk_format::{damaged, decode, encode};
use crate::disk_port::DiskLimits;
use crate::entry_log::PackedEntry;
use crate::messages::Entry;
use crate::packed::PackedBytes;
use crate::step::{Record, RecoveredState};
use crate::store::Store;
use crate::terms::{LOG_MAX_ENTRIES, SNAPSHOT_INTERVAL_ENTRIES};
use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_core::{ChangeNumber, Error, ErrorCode};
use redb::{ReadTransaction, ReadableTable, Table, TableDefinition, WriteTransaction};
use std::collections::VecDeque;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
/// Entries as earlier versions kept them, unpacked; read once, never written.
const OLD_LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// An entry that is kept in the file.
#[derive(Clone, Copy, Debug)]
struct Row {
    n: ChangeNumber,
    bytes: usize,
}

/// Rows of the file's log, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    kept: VecDeque<Row>,
    bytes: usize,
    since_snapshot: usize,
    bytes_since_snapshot: usize,
}

impl Rows {
    pub fn push(&mut self, n: ChangeNumber, bytes: usize, is_in_snapshot: bool) {
        self.kept.push_back(Row { n, bytes });
        self.bytes += bytes;
        if !is_in_snapshot {
            self.since_snapshot += 1;
            self.bytes_since_snapshot += bytes;
        }
    }

    /// Drops what the limits leave no room for; the number of the first row that stays.
    pub fn cut(&mut self, limits: &DiskLimits) -> Option<ChangeNumber> {
        self.since_snapshot = 0;
        self.bytes_since_snapshot = 0;
        while self.kept.len() > LOG_MAX_ENTRIES || (self.kept.len() > 1 && self.bytes > limits.log_bytes) {
            let dropped = self.kept.pop_front()?;
            self.bytes -= dropped.bytes;
        }
        self.kept.front().map(|row| row.n)
    }

    pub fn is_snapshot_due(&self, limits: &DiskLimits) -> bool {
        self.since_snapshot >= SNAPSHOT_INTERVAL_ENTRIES || self.bytes_since_snapshot >= limits.snapshot_bytes
    }
}

pub(crate) fn broken(e: impl std::fmt::Display) -> Error {
    ErrorCode::DiskFailed.with_detail(e)
}

pub(crate) fn unusable(e: impl std::fmt::Display) -> Error {
    ErrorCode::DataDirectoryUnusable.with_detail(e)
}

/// A file that cannot be read at this time may be read later; one that is damaged may not.
pub(crate) fn read_error<E>(place: &dyn std::fmt::Display, e: E) -> Error
where
    E: Into<redb::Error>,
{
    let e = e.into();
    let said = format!("{place}: {e}");
    match e {
        redb::Error::Io(io) if !is_damage(&io) => broken(said),
        _ => unusable(said),
    }
}

fn unreadable<E: Into<redb::Error>>(e: E) -> Error {
    read_error(&"a table", e)
}

fn is_damage(e: &std::io::Error) -> bool {
    use std::io::ErrorKind;
    matches!(e.kind(), ErrorKind::UnexpectedEof | ErrorKind::InvalidData | ErrorKind::InvalidInput)
}

fn put<T: BorshSerialize>(meta: &mut Table<&str, &[u8]>, key: &str, value: &T) -> Result<(), Error> {
    meta.insert(key, encode(value).as_slice()).map(drop).map_err(broken)
}

pub(crate) fn write_name(tx: &WriteTransaction, name: &str) -> Result<(), Error> {
    put(&mut tx.open_table(META).map_err(broken)?, "name", &name.to_owned())
}

/// Writes the store whole, and drops the entries before `first_kept`.
pub(crate) fn write_snapshot(
    tx: &WriteTransaction,
    store: &Store,
    first_kept: ChangeNumber,
) -> Result<(), Error> {
    put_snapshot(tx, store)?;
    let mut entries = tx.open_table(ENTRIES).map_err(broken)?;
    entries.retain(|n, _| n >= first_kept).map_err(broken)
}

pub(crate) fn write(tx: &WriteTransaction, record: &Record) -> Result<(), Error> {
    let mut meta = tx.open_table(META).map_err(broken)?;
    match record {
        Record::Acceptor { acceptor } => put(&mut meta, "acceptor", acceptor),
        Record::View { view } => put(&mut meta, "view", view),
        Record::CatchingUp { catching_up } => put(&mut meta, "newcomer", catching_up),
        Record::Served { version } => put(&mut meta, "served", version),
        Record::Entry { entry } => {
            let mut entries = tx.open_table(ENTRIES).map_err(broken)?;
            entries.insert(entry.number, encode(&entry.bytes).as_slice()).map(drop).map_err(broken)
        }
        Record::Snapshot { store } => {
            drop(meta);
            put_snapshot(tx, store)?;
            tx.open_table(ENTRIES).map_err(broken)?.retain(|_, _| false).map_err(broken)
        }
    }
}

/// The snapshot takes the place of what an earlier version kept.
fn put_snapshot(tx: &WriteTransaction, store: &Store) -> Result<(), Error> {
    let packed = PackedBytes::pack(borsh::to_vec(store).unwrap_or_default());
    let mut meta = tx.open_table(META).map_err(broken)?;
    put(&mut meta, "snapshot", &packed)?;
    meta.remove("whole").map_err(broken)?;
    tx.delete_table(OLD_LOG).map(drop).map_err(broken)
}

/// What the file holds: whose it is, the state, and the rows of its log.
pub(crate) fn load(tx: &ReadTransaction) -> Result<(String, RecoveredState, Rows), Error> {
    let meta = tx.open_table(META).map_err(unreadable)?;
    let get = |key: &str| meta.get(key).map_err(unreadable).map(|v| v.map(|guard| guard.value().to_vec()));
    fn or_default<T: BorshDeserialize + Default>(key: &str, bytes: Option<Vec<u8>>) -> Result<T, Error> {
        bytes.map_or_else(|| Ok(T::default()), |b| decode(key, &b))
    }
    let name = or_default("name", get("name")?)?;
    let store = match get("snapshot")? {
        Some(bytes) => unpack_store(&bytes)?,
        None => or_default("whole", get("whole")?)?,
    };
    let mut state = RecoveredState {
        acceptor: or_default("acceptor", get("acceptor")?)?,
        view: or_default("view", get("view")?)?,
        store,
        log: Default::default(),
        catching_up: or_default("newcomer", get("newcomer")?)?,
        served_version: or_default("served", get("served")?)?,
    };
    let mut rows = Rows::default();
    if let Ok(log) = tx.open_table(OLD_LOG) {
        for row in log.iter().map_err(unreadable)? {
            let (n, bytes) = row.map_err(unreadable)?;
            let entry: Entry = decode(&format!("log {}", n.value()), bytes.value())?;
            take_entry(&mut state, &mut rows, PackedEntry::pack(&entry), &entry)?;
        }
    }
    if let Ok(entries) = tx.open_table(ENTRIES) {
        for row in entries.iter().map_err(unreadable)? {
            let (n, bytes) = row.map_err(unreadable)?;
            let what = format!("entry {}", n.value());
            let packed = PackedEntry { number: n.value(), bytes: decode(&what, bytes.value())? };
            let entry = packed.unpack().ok_or_else(|| damaged(&what))?;
            take_entry(&mut state, &mut rows, packed, &entry)?;
        }
    }
    Ok((name, state, rows))
}

fn unpack_store(bytes: &[u8]) -> Result<Store, Error> {
    let packed: PackedBytes = decode("snapshot", bytes)?;
    let plain = packed.unpack().ok_or_else(|| damaged("snapshot"))?;
    borsh::from_slice(&plain).map_err(|_| damaged("snapshot"))
}

fn take_entry(
    state: &mut RecoveredState,
    rows: &mut Rows,
    packed: PackedEntry,
    entry: &Entry,
) -> Result<(), Error> {
    let is_in_snapshot = entry.number <= state.store.last_change;
    if !is_in_snapshot && state.store.apply(entry).is_none() {
        return Err(unusable(format_args!("the log has a gap before {}", entry.number)));
    }
    rows.push(entry.number, packed.size(), is_in_snapshot);
    state.log.push_back(packed);
    Ok(())
}
