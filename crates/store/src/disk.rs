//! The keeper's data folder: one redb file, every value under its own checksum (§5.7).
use crate::disk_port::{DiskLimits, DiskUsage, StableStorage};
use crate::disk_records::{self as records, Rows, broken, read_error, unusable};
use crate::messages::View;
use crate::step::{Record, RecoveredState};
use crate::store::Store;
use quincehatch_core::Error;
use redb::{Database, Durability, ReadableDatabase, WriteTransaction};
use std::path::{Path, PathBuf};

/// Memory for pages: the store is in memory anyhow.
const CACHE: usize = 1 << 20;
const FILE: &str = "keeper.redb";
/// Name of the file until it is whole.
const UNFINISHED_FILE: &str = "keeper.half";

pub struct Disk {
    file: PathBuf,
    /// Closed after an error, until [`Disk::recover`].
    db: Option<Database>,
    limits: DiskLimits,
    rows: Rows,
    /// Length of the file after it was compacted last.
    compacted: u64,
}

impl Disk {
    /// Opens the folder of keeper `name`. `first` makes a new one for a first start with that view;
    /// without it an empty folder is declined, as a lost disk must not vote as if it remembered (§5.7).
    pub fn open(dir: &Path, name: &str, first: Option<View>) -> Result<(Self, RecoveredState), Error> {
        let file = dir.join(FILE);
        let is_new = !file.try_exists().map_err(broken)?;
        match (&first, is_new) {
            (None, true) => {
                return Err(unusable(format_args!(
                    "{} holds no data of a keeper; --init is for the first start of all, --join for a new machine",
                    dir.display()
                )));
            }
            (Some(_), false) => {
                return Err(unusable(format_args!(
                    "{} holds data already; start without --init",
                    dir.display()
                )));
            }
            _ => {}
        }
        if let Some(view) = first {
            return Self::create(dir, name, view);
        }
        let (owner, disk, state) = Self::open_file(&file)?;
        if owner != name {
            return Err(unusable(format_args!("it belongs to the keeper {owner:?}, not to {name:?}")));
        }
        Ok((disk, state))
    }

    /// What the folder holds, if anything was ever kept there: the keeper's name is in it (§5.9).
    pub fn open_existing(dir: &Path) -> Result<Option<(String, Self, RecoveredState)>, Error> {
        let file = dir.join(FILE);
        // A folder that cannot be read at this time is not an empty one.
        if file.try_exists().map_err(broken)? { Self::open_file(&file).map(Some) } else { Ok(None) }
    }

    /// Makes the folder of a new keeper. The file has its name only once all of it is synced: what a kill left
    /// half made is begun anew, as nobody has heard of that keeper yet.
    pub fn create(dir: &Path, name: &str, view: View) -> Result<(Self, RecoveredState), Error> {
        let (unfinished, file) = (dir.join(UNFINISHED_FILE), dir.join(FILE));
        std::fs::create_dir_all(dir).map_err(broken)?;
        if unfinished.exists() {
            std::fs::remove_file(&unfinished).map_err(broken)?;
        }
        let db = Database::builder().set_cache_size(CACHE).create(&unfinished).map_err(broken)?;
        let mut disk = Self::with(&unfinished, Some(db));
        disk.write(|tx| records::write_name(tx, name))?;
        disk.save(&[Record::View { view }])?;
        drop(disk);
        std::fs::rename(&unfinished, &file)
            .and_then(|()| std::fs::File::open(dir)?.sync_all())
            .map_err(broken)?;
        Self::open_file(&file).map(|(_, disk, state)| (disk, state))
    }

    /// The size that the folder may take.
    pub fn with_size_limit(mut self, bytes: u64) -> Self {
        self.limits = DiskLimits::for_allowed_bytes(bytes);
        self
    }

    fn with(file: &Path, db: Option<Database>) -> Self {
        let (limits, rows) = (DiskLimits::default(), Rows::default());
        Self { file: file.to_owned(), db, limits, rows, compacted: 0 }
    }

    fn open_file(file: &Path) -> Result<(String, Self, RecoveredState), Error> {
        let mut disk = Self::with(file, None);
        let (name, state) = disk.reopen()?;
        Ok((name, disk, state))
    }

    fn reopen(&mut self) -> Result<(String, RecoveredState), Error> {
        self.db = None;
        let opened = Database::builder().set_cache_size(CACHE).open(&self.file);
        let db = opened.map_err(|e| read_error(&self.file.display(), e))?;
        let tx = db.begin_read().map_err(broken)?;
        let (name, state, rows) = records::load(&tx)?;
        drop(tx);
        self.db = Some(db);
        self.rows = rows;
        Ok((name, state))
    }

    /// One transaction, durable when it returns.
    fn write(&mut self, fill: impl FnOnce(&WriteTransaction) -> Result<(), Error>) -> Result<(), Error> {
        let db = self.db.as_ref().ok_or_else(|| broken("the file is not open"))?;
        let mut tx = db.begin_write().map_err(broken)?;
        tx.set_durability(Durability::Immediate).map_err(broken)?;
        fill(&tx)?;
        tx.commit().map_err(broken)
    }

    /// Writes the store whole, and drops entries that the limits leave no room for.
    fn replace_snapshot(&mut self, store: &Store) -> Result<(), Error> {
        let first_kept = self.rows.cut(&self.limits).unwrap_or(store.last_change + 1);
        self.write(|tx| records::write_snapshot(tx, store, first_kept))
    }

    /// Hands the free part of the file back to the file system.
    fn shrink_file(&mut self) -> Result<(), Error> {
        let length = self.usage().used;
        if length <= self.limits.compact_above_bytes || length < 2 * self.compacted {
            return Ok(());
        }
        let db = self.db.as_mut().ok_or_else(|| broken("the file is not open"))?;
        db.compact().map_err(broken)?;
        self.compacted = self.usage().used;
        Ok(())
    }
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
                Record::Snapshot { .. } => self.rows = Rows::default(),
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

    /// What a failed sync left in the system's page cache may not be on the disk: all of it is written again.
    fn recover(&mut self) -> Result<RecoveredState, Error> {
        let (_, state) = self.reopen()?;
        let small = [
            Record::Acceptor { acceptor: state.acceptor.clone() },
            Record::View { view: state.view.clone() },
            Record::Served { version: state.served_version },
            Record::CatchingUp { catching_up: state.catching_up },
        ];
        self.save(&small)?;
        self.replace_snapshot(&state.store)?;
        Ok(state)
    }

    fn usage(&self) -> DiskUsage {
        let used = std::fs::metadata(&self.file).map_or(0, |m| m.len());
        DiskUsage { used, allowed: self.limits.allowed_bytes }
    }
}
