//! The keeper's data folder: one redb file, every value under its own sum (§5.7).
use crate::keeper::{Record, RecoveredState};
use crate::messages::{Entry, View};
use crate::store::Store;
use crate::terms::{LOG_KEEP, SNAP_EVERY};
use borsh::{BorshDeserialize, BorshSerialize};
use qh_core::{Code, Error, hash64};
use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;

/// Memory for pages: the store is in memory anyhow.
const CACHE: usize = 1 << 20;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const FILE: &str = "keeper.redb";
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

pub struct Disk {
    db: Database,
    since: u64,
}

fn broke(e: impl std::fmt::Display) -> Error {
    Code::DiskBroke.because(e)
}
fn folder(e: impl std::fmt::Display) -> Error {
    Code::DataFolder.because(e)
}

fn wrap<T: BorshSerialize>(v: &T) -> Vec<u8> {
    let body = borsh::to_vec(v).unwrap_or_default();
    let mut out = hash64(&[&body]).to_le_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

fn unwrap<T: BorshDeserialize>(what: &str, b: &[u8]) -> Result<T, Error> {
    let hurt = || folder(format_args!("the record {what} is damaged"));
    let (sum, body) = b.split_at_checked(8).ok_or_else(hurt)?;
    if hash64(&[body]).to_le_bytes() != sum {
        return Err(hurt());
    }
    borsh::from_slice(body).map_err(|_| hurt())
}

impl Disk {
    /// Opens the folder of keeper `name`. `first` makes a new one for a first start with that view;
    /// without it an empty folder is declined, as a lost disk must not vote as if it remembered (§5.7).
    pub fn open(dir: &Path, name: &str, first: Option<View>) -> Result<(Self, RecoveredState), Error> {
        let file = dir.join(FILE);
        let is_new = !file.exists();
        match (&first, is_new) {
            (None, true) => {
                return Err(folder(format_args!(
                    "{} holds no data of a keeper; --init is for the first start of all, --join for a new machine",
                    dir.display()
                )));
            }
            (Some(_), false) => {
                return Err(folder(format_args!(
                    "{} holds data already; start without --init",
                    dir.display()
                )));
            }
            _ => {}
        }
        if let Some(view) = first {
            return Self::make(dir, name, view);
        }
        let (whose, disk, found) = Self::at(&file)?;
        if whose != name {
            return Err(folder(format_args!("it belongs to the keeper {whose:?}, not to {name:?}")));
        }
        Ok((disk, found))
    }

    /// What the folder holds, if anything was ever kept there: the keeper's name is in it (§5.9).
    pub fn find(dir: &Path) -> Result<Option<(String, Self, RecoveredState)>, Error> {
        let file = dir.join(FILE);
        if file.exists() { Self::at(&file).map(Some) } else { Ok(None) }
    }

    /// Makes the folder of a new keeper. The file has its name only once all of it is synced: what a kill left
    /// half made is begun anew, as nobody has heard of that keeper yet.
    pub fn make(dir: &Path, name: &str, view: View) -> Result<(Self, RecoveredState), Error> {
        let (half, file) = (dir.join("keeper.half"), dir.join(FILE));
        std::fs::create_dir_all(dir).map_err(folder)?;
        if half.exists() {
            std::fs::remove_file(&half).map_err(folder)?;
        }
        let db = Database::builder().set_cache_size(CACHE).create(&half).map_err(folder)?;
        let mut d = Self { db, since: 0 };
        d.put("name", &name.to_owned())?;
        d.save(&[Record::View { view }])?;
        drop(d);
        std::fs::rename(&half, &file).and_then(|()| std::fs::File::open(dir)?.sync_all()).map_err(folder)?;
        Self::at(&file).map(|(_, d, f)| (d, f))
    }

    fn at(file: &Path) -> Result<(String, Self, RecoveredState), Error> {
        let open = Database::builder().set_cache_size(CACHE).open(file);
        let db = open.map_err(|e| folder(format_args!("{}: {e}", file.display())))?;
        let d = Self { db, since: 0 };
        let (name, found) = d.load()?;
        Ok((name, d, found))
    }

    fn put<T: BorshSerialize>(&self, k: &str, v: &T) -> Result<(), Error> {
        let tx = self.db.begin_write().map_err(broke)?;
        tx.open_table(META).map_err(broke)?.insert(k, wrap(v).as_slice()).map_err(broke)?;
        tx.commit().map_err(broke)
    }

    fn load(&self) -> Result<(String, RecoveredState), Error> {
        let tx = self.db.begin_read().map_err(broke)?;
        let meta = tx.open_table(META).map_err(folder)?;
        let get = |k: &str| meta.get(k).map_err(folder).map(|v| v.map(|g| g.value().to_vec()));
        let whose: String = get("name")?.map_or(Ok(String::new()), |b| unwrap("name", &b))?;
        let mut f = RecoveredState {
            acceptor: get("acceptor")?.map_or(Ok(Default::default()), |b| unwrap("acceptor", &b))?,
            view: get("view")?.map_or(Ok(Default::default()), |b| unwrap("view", &b))?,
            store: get("whole")?.map_or(Ok(Store::default()), |b| unwrap("whole", &b))?,
            log: Default::default(),
            catching_up: get("newcomer")?.map_or(Ok(false), |b| unwrap("newcomer", &b))?,
            served: get("served")?.map_or(Ok(0), |b| unwrap("served", &b))?,
        };
        if let Ok(log) = tx.open_table(LOG) {
            for row in log.iter().map_err(folder)? {
                let (n, b) = row.map_err(folder)?;
                let e: Entry = unwrap(&format!("log {}", n.value()), b.value())?;
                if e.n > f.store.n && f.store.apply(&e).is_none() {
                    return Err(folder(format_args!("the log has a gap before {}", e.n)));
                }
                f.log.push_back(e);
            }
        }
        Ok((whose, f))
    }

    /// Syncs the records in one transaction; when it fails the keeper must stop.
    pub fn save(&mut self, recs: &[Record]) -> Result<(), Error> {
        if recs.is_empty() {
            return Ok(());
        }
        let mut tx = self.db.begin_write().map_err(broke)?;
        tx.set_durability(Durability::Immediate).map_err(broke)?;
        {
            let mut meta = tx.open_table(META).map_err(broke)?;
            let mut log = tx.open_table(LOG).map_err(broke)?;
            for r in recs {
                match r {
                    Record::Acceptor { acceptor } => {
                        drop(meta.insert("acceptor", wrap(acceptor).as_slice()).map_err(broke)?)
                    }
                    Record::View { view } => drop(meta.insert("view", wrap(view).as_slice()).map_err(broke)?),
                    Record::CatchingUp { yes } => {
                        drop(meta.insert("newcomer", wrap(yes).as_slice()).map_err(broke)?)
                    }
                    Record::Served { version } => {
                        drop(meta.insert("served", wrap(version).as_slice()).map_err(broke)?)
                    }
                    Record::Snapshot { store } => {
                        meta.insert("whole", wrap(store.as_ref()).as_slice()).map_err(broke)?;
                        log.retain(|_, _| false).map_err(broke)?;
                    }
                    Record::Entry { e } => {
                        log.insert(e.n, wrap(e).as_slice()).map_err(broke)?;
                        self.since += 1;
                    }
                }
            }
        }
        tx.commit().map_err(broke)
    }

    /// Now and then the store is written whole and the log behind it cut short.
    pub fn compact(&mut self, store: &Store) -> Result<(), Error> {
        if self.since < SNAP_EVERY {
            return Ok(());
        }
        self.since = 0;
        let low = store.n.saturating_sub(LOG_KEEP as u64);
        let tx = self.db.begin_write().map_err(broke)?;
        {
            let mut meta = tx.open_table(META).map_err(broke)?;
            meta.insert("whole", wrap(store).as_slice()).map_err(broke)?;
            let mut log = tx.open_table(LOG).map_err(broke)?;
            log.retain(|n, _| n > low).map_err(broke)?;
        }
        tx.commit().map_err(broke)
    }
}
