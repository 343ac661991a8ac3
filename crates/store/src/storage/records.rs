//! Writing and reading of a keeper's records in its redb file.
use crate::command::Entry;
use crate::compression::PackedBytes;
use crate::entry_log::{EntryLog, PackedEntry};
use crate::record::{Record, RecoveredState};
use crate::storage::checksum::{decode, encode};
use crate::storage::errors::{damaged, disk_error, table_read_error, unusable};
use crate::storage::log_rows::LogRows;
use crate::store::Store;
use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_core::{ChangeNumber, Error};
use redb::{ReadOnlyTable, ReadTransaction, ReadableTable, Table, TableDefinition, WriteTransaction};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
/// Uncompressed entries of earlier versions. They are read at the start and never written.
const LEGACY_LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

// Keys of the table META. They are stored on disk, so they must not change.
const NAME: &str = "name";
const ACCEPTOR: &str = "acceptor";
const VIEW: &str = "view";
const CATCHING_UP: &str = "newcomer";
const SERVED: &str = "served";
const SNAPSHOT: &str = "snapshot";
/// Key of the uncompressed snapshot of earlier versions.
const LEGACY_SNAPSHOT: &str = "whole";

/// The contents of a keeper's file.
pub(super) struct LoadedFile {
    /// Name of the keeper that owns the file.
    pub owner: String,
    pub state: RecoveredState,
    pub rows: LogRows,
}

fn put<T: BorshSerialize>(meta: &mut Table<&str, &[u8]>, key: &str, value: &T) -> Result<(), Error> {
    meta.insert(key, encode(value).as_slice()).map(drop).map_err(disk_error)
}

/// Writes the name of the keeper that owns the file.
pub(super) fn write_name(tx: &WriteTransaction, name: &str) -> Result<(), Error> {
    put(&mut tx.open_table(META).map_err(disk_error)?, NAME, &name.to_owned())
}

/// Writes the store as the new snapshot, and drops the entries before `first_retained`.
pub(super) fn write_snapshot(
    tx: &WriteTransaction,
    store: &Store,
    first_retained: ChangeNumber,
) -> Result<(), Error> {
    put_snapshot(tx, store)?;
    let mut entries = tx.open_table(ENTRIES).map_err(disk_error)?;
    entries.retain(|number, _| number >= first_retained).map_err(disk_error)
}

/// Writes one record.
pub(super) fn write(tx: &WriteTransaction, record: &Record) -> Result<(), Error> {
    let mut meta = tx.open_table(META).map_err(disk_error)?;
    match record {
        Record::Acceptor { acceptor } => put(&mut meta, ACCEPTOR, acceptor),
        Record::View { view } => put(&mut meta, VIEW, view),
        Record::CatchingUp { catching_up } => put(&mut meta, CATCHING_UP, catching_up),
        Record::Served { version } => put(&mut meta, SERVED, version),
        Record::Entry { entry } => {
            let mut entries = tx.open_table(ENTRIES).map_err(disk_error)?;
            entries.insert(entry.number, encode(&entry.bytes).as_slice()).map(drop).map_err(disk_error)
        }
        Record::Snapshot { store } => {
            // redb does not open a table twice at the same time.
            drop(meta);
            put_snapshot(tx, store)?;
            let mut entries = tx.open_table(ENTRIES).map_err(disk_error)?;
            entries.retain(|_, _| false).map_err(disk_error)
        }
    }
}

/// Writes the snapshot, and removes the snapshot and the log of earlier versions.
fn put_snapshot(tx: &WriteTransaction, store: &Store) -> Result<(), Error> {
    let packed = PackedBytes::pack(borsh::to_vec(store).unwrap_or_default());
    let mut meta = tx.open_table(META).map_err(disk_error)?;
    put(&mut meta, SNAPSHOT, &packed)?;
    meta.remove(LEGACY_SNAPSHOT).map_err(disk_error)?;
    tx.delete_table(LEGACY_LOG).map(drop).map_err(disk_error)
}

/// Reads all contents of the file.
pub(super) fn load(tx: &ReadTransaction) -> Result<LoadedFile, Error> {
    let meta = MetaTable(tx.open_table(META).map_err(table_read_error)?);
    let owner = meta.value_or_default(NAME)?;
    let state = RecoveredState {
        store: load_store(&meta)?,
        acceptor: meta.value_or_default(ACCEPTOR)?,
        view: meta.value_or_default(VIEW)?,
        log: EntryLog::default(),
        catching_up: meta.value_or_default(CATCHING_UP)?,
        served_version: meta.value_or_default(SERVED)?,
    };
    let mut loaded = LoadedFile { owner, state, rows: LogRows::default() };
    load_legacy_log(tx, &mut loaded)?;
    load_entries(tx, &mut loaded)?;
    Ok(loaded)
}

/// The table META, opened for reading.
struct MetaTable(ReadOnlyTable<&'static str, &'static [u8]>);

impl MetaTable {
    fn bytes(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        let value = self.0.get(key).map_err(table_read_error)?;
        Ok(value.map(|guard| guard.value().to_vec()))
    }

    fn value_or_default<T: BorshDeserialize + Default>(&self, key: &str) -> Result<T, Error> {
        match self.bytes(key)? {
            Some(bytes) => decode(key, &bytes),
            None => Ok(T::default()),
        }
    }
}

fn load_store(meta: &MetaTable) -> Result<Store, Error> {
    let Some(bytes) = meta.bytes(SNAPSHOT)? else {
        return meta.value_or_default(LEGACY_SNAPSHOT);
    };
    let packed: PackedBytes = decode(SNAPSHOT, &bytes)?;
    let plain = packed.unpack().ok_or_else(|| damaged(SNAPSHOT))?;
    borsh::from_slice(&plain).map_err(|_| damaged(SNAPSHOT))
}

/// Reads the uncompressed entries of an earlier version, if the file contains any.
fn load_legacy_log(tx: &ReadTransaction, loaded: &mut LoadedFile) -> Result<(), Error> {
    let Ok(legacy_log) = tx.open_table(LEGACY_LOG) else { return Ok(()) };
    for row in legacy_log.iter().map_err(table_read_error)? {
        let (number, bytes) = row.map_err(table_read_error)?;
        let entry: Entry = decode(&format!("log {}", number.value()), bytes.value())?;
        loaded.add_entry(PackedEntry::pack(&entry), &entry)?;
    }
    Ok(())
}

fn load_entries(tx: &ReadTransaction, loaded: &mut LoadedFile) -> Result<(), Error> {
    let Ok(entries) = tx.open_table(ENTRIES) else { return Ok(()) };
    for row in entries.iter().map_err(table_read_error)? {
        let (number, bytes) = row.map_err(table_read_error)?;
        let record = format!("entry {}", number.value());
        let packed = PackedEntry { number: number.value(), bytes: decode(&record, bytes.value())? };
        let entry = packed.unpack().ok_or_else(|| damaged(&record))?;
        loaded.add_entry(packed, &entry)?;
    }
    Ok(())
}

impl LoadedFile {
    /// Adds an entry to the log, and applies it to the store unless the snapshot already reflects it.
    fn add_entry(&mut self, packed: PackedEntry, entry: &Entry) -> Result<(), Error> {
        let is_in_snapshot = entry.number <= self.state.store.last_change;
        if !is_in_snapshot && self.state.store.apply(entry).is_none() {
            return Err(unusable(format_args!("the log has a gap before {}", entry.number)));
        }
        self.rows.push(entry.number, packed.size(), is_in_snapshot);
        self.state.log.push_back(packed);
        Ok(())
    }
}
