//! The data directory of a keeper: a single redb file, in which every value has its own checksum.
use crate::disk_usage::DiskUsage;
use crate::record::{Record, RecoveredState};
use crate::storage::disk_limits::DiskLimits;
use crate::storage::errors::{disk_error, read_error, unusable};
use crate::storage::log_rows::LogRows;
use crate::storage::records;
use crate::storage::stable_storage::StableStorage;
use crate::store::Store;
use crate::view::View;
use quincehatch_core::Error;
use redb::{Database, Durability, ReadableDatabase, WriteTransaction};
use std::path::{Path, PathBuf};

/// Size of redb's page cache (1 MiB). A larger cache has no benefit, because the whole store is in memory.
const PAGE_CACHE_BYTES: usize = 1 << 20;
const FILE_NAME: &str = "keeper.redb";
/// Name of the file while it is being created.
const UNFINISHED_FILE_NAME: &str = "keeper.half";

/// The open data directory of a keeper.
pub struct Disk {
    file: PathBuf,
    /// `None` after a failed reopen, until [`Disk::recover`] succeeds.
    db: Option<Database>,
    limits: DiskLimits,
    rows: LogRows,
    /// Length of the file after its last compaction, in bytes.
    compacted_length: u64,
}

/// An open data directory and the state that was read from it.
pub struct OpenedDisk {
    /// Name of the keeper to which the directory belongs.
    pub owner: String,
    /// The open directory.
    pub disk: Disk,
    /// The state that was read from the directory.
    pub state: RecoveredState,
}

impl Disk {
    /// Opens the directory of the keeper `name`, or creates it if a `first_view` is given, which it then contains.
    ///
    /// # Errors
    /// If the directory is empty and there is no `first_view`: a keeper that lost its disk must not vote, because it no
    /// longer knows its earlier votes. Also if the directory already contains data and there is a `first_view`, or if
    /// the directory belongs to another keeper, is damaged or cannot be read.
    pub fn open(dir: &Path, name: &str, first_view: Option<View>) -> Result<OpenedDisk, Error> {
        let file = dir.join(FILE_NAME);
        let is_new = !file.try_exists().map_err(disk_error)?;
        match (first_view, is_new) {
            (Some(view), true) => Self::create(dir, name, view),
            (None, false) => Self::open_file_of(&file, name),
            (None, true) => Err(unusable(format_args!(
                "{} contains no keeper data; --init is only for a new chain, --join for a new machine",
                dir.display()
            ))),
            (Some(_), false) => {
                Err(unusable(format_args!("{} already contains data; start without --init", dir.display())))
            }
        }
    }

    /// Opens the directory if it contains the data of any keeper; returns `None` if it does not.
    ///
    /// # Errors
    /// If the directory cannot be read or is damaged. A directory that cannot be read is not reported as an empty one.
    pub fn open_existing(dir: &Path) -> Result<Option<OpenedDisk>, Error> {
        let file = dir.join(FILE_NAME);
        if !file.try_exists().map_err(disk_error)? {
            return Ok(None);
        }
        Self::open_file(&file).map(Some)
    }

    /// Creates the directory of a new keeper. The file is renamed to its final name only after all of it is synced. A
    /// file that a crash left unfinished is created anew, because no other process knows the new keeper yet.
    ///
    /// # Errors
    /// If the disk fails.
    pub fn create(dir: &Path, name: &str, view: View) -> Result<OpenedDisk, Error> {
        let unfinished = dir.join(UNFINISHED_FILE_NAME);
        let file = dir.join(FILE_NAME);
        std::fs::create_dir_all(dir).map_err(disk_error)?;
        if unfinished.exists() {
            std::fs::remove_file(&unfinished).map_err(disk_error)?;
        }
        let db =
            Database::builder().set_cache_size(PAGE_CACHE_BYTES).create(&unfinished).map_err(disk_error)?;
        let mut disk = Self::with_database(&unfinished, Some(db));
        disk.write(|tx| records::write_name(tx, name))?;
        disk.save(&[Record::View { view }])?;
        drop(disk);
        std::fs::rename(&unfinished, &file).map_err(disk_error)?;
        sync_directory(dir).map_err(disk_error)?;
        Self::open_file(&file)
    }

    /// Sets the allowed size of the directory, in bytes.
    pub fn with_size_limit(mut self, bytes: u64) -> Self {
        self.limits = DiskLimits::for_allowed_bytes(bytes);
        self
    }

    fn with_database(file: &Path, db: Option<Database>) -> Self {
        Self {
            file: file.to_owned(),
            db,
            limits: DiskLimits::default(),
            rows: LogRows::default(),
            compacted_length: 0,
        }
    }

    fn open_file(file: &Path) -> Result<OpenedDisk, Error> {
        let mut disk = Self::with_database(file, None);
        let Reopened { owner, state } = disk.reopen()?;
        Ok(OpenedDisk { owner, disk, state })
    }

    fn open_file_of(file: &Path, name: &str) -> Result<OpenedDisk, Error> {
        let opened = Self::open_file(file)?;
        if opened.owner != name {
            let reason = format!("it belongs to the keeper {:?}, not to {name:?}", opened.owner);
            return Err(unusable(reason));
        }
        Ok(opened)
    }

    fn reopen(&mut self) -> Result<Reopened, Error> {
        self.db = None;
        let opened = Database::builder().set_cache_size(PAGE_CACHE_BYTES).open(&self.file);
        let db = opened.map_err(|cause| read_error(&self.file.display(), cause))?;
        let tx = db.begin_read().map_err(disk_error)?;
        let loaded = records::load(&tx)?;
        drop(tx);
        self.db = Some(db);
        self.rows = loaded.rows;
        Ok(Reopened { owner: loaded.owner, state: loaded.state })
    }

    /// Runs `fill` in a write transaction, which is durable when this function returns.
    fn write(&mut self, fill: impl FnOnce(&WriteTransaction) -> Result<(), Error>) -> Result<(), Error> {
        let db = self.db.as_ref().ok_or_else(not_open)?;
        let mut tx = db.begin_write().map_err(disk_error)?;
        tx.set_durability(Durability::Immediate).map_err(disk_error)?;
        fill(&tx)?;
        tx.commit().map_err(disk_error)
    }

    /// Writes the store as the new snapshot, and drops the oldest entries beyond the limits.
    fn replace_snapshot(&mut self, store: &Store) -> Result<(), Error> {
        let first_retained = self.rows.truncate(&self.limits).unwrap_or(store.last_change + 1);
        self.write(|tx| records::write_snapshot(tx, store, first_retained))
    }

    /// Compacts the file to release its free space to the file system. Compaction copies the whole file, so it runs
    /// only if the file has doubled since the last one.
    fn shrink_file(&mut self) -> Result<(), Error> {
        let length = self.usage().used;
        if length <= self.limits.compact_above_bytes || length < 2 * self.compacted_length {
            return Ok(());
        }
        let db = self.db.as_mut().ok_or_else(not_open)?;
        db.compact().map_err(disk_error)?;
        self.compacted_length = self.usage().used;
        Ok(())
    }
}

/// The owner and the state that were read when the file was reopened.
struct Reopened {
    owner: String,
    state: RecoveredState,
}

fn not_open() -> Error {
    disk_error("the file is not open")
}

/// Syncs a directory, so that a renamed file has its new name after a crash.
fn sync_directory(dir: &Path) -> std::io::Result<()> {
    std::fs::File::open(dir)?.sync_all()
}

impl StableStorage for Disk {
    fn save(&mut self, saved: &[Record]) -> Result<(), Error> {
        if saved.is_empty() {
            return Ok(());
        }
        self.write(|tx| saved.iter().try_for_each(|record| records::write(tx, record)))?;
        for record in saved {
            match record {
                Record::Entry { entry } => self.rows.push(entry.number, entry.size(), false),
                Record::Snapshot { .. } => self.rows = LogRows::default(),
                _ => {}
            }
        }
        Ok(())
    }

    fn is_snapshot_due(&self) -> bool {
        self.rows.is_snapshot_due(&self.limits)
    }

    fn write_snapshot(&mut self, store: &Store) -> Result<(), Error> {
        self.replace_snapshot(store)?;
        self.shrink_file()
    }

    /// Reopens the file and writes all of its records again: after a failed sync, data in the page cache of the
    /// operating system may not be on the disk.
    fn recover(&mut self) -> Result<RecoveredState, Error> {
        let Reopened { state, .. } = self.reopen()?;
        let small_records = [
            Record::Acceptor { acceptor: state.acceptor.clone() },
            Record::View { view: state.view.clone() },
            Record::Served { version: state.served_version },
            Record::CatchingUp { catching_up: state.catching_up },
        ];
        self.save(&small_records)?;
        self.replace_snapshot(&state.store)?;
        Ok(state)
    }

    fn usage(&self) -> DiskUsage {
        let used = std::fs::metadata(&self.file).map_or(0, |metadata| metadata.len());
        DiskUsage { used, allowed: self.limits.allowed_bytes }
    }
}
