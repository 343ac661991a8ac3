//! A stand-in database server over HTTP (§3): it keeps data, replicates, beats, and can be made to fail.
pub mod calls;
mod commits;
pub mod faults;
pub mod http_server;
pub mod journal;
mod lab_calls;
pub mod replication;

use crate::database::{Database, DiskRecord};
use faults::Faults;
use journal::{Journal, JournalEntry};
use quincehatch_core::{Labels, Position, Role, ServerHeartbeat, ServerState, Stamp};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use serde_json::{Value, json};
use std::io::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

/// What a stand-in is started with.
#[derive(Clone, Debug, Default)]
pub struct StandInOptions {
    pub name: String,
    pub addr: String,
    pub labels: Labels,
    pub peers: Vec<String>,
    /// Desks of nodes to beat to.
    pub operator_addresses: Vec<String>,
    pub data_dir: Option<std::path::PathBuf>,
    /// In place of a folder: a disk of the simulator's.
    pub memory_disk: Option<Arc<MemoryDisk>>,
    /// Where a relay stands before this server: the address told to nodes.
    pub advertised_addr: Option<String>,
}

/// A disk that outlives the server's process.
#[derive(Default)]
pub struct MemoryDisk {
    records: Mutex<Vec<DiskRecord>>,
    pub journal: Arc<Journal>,
}

impl std::fmt::Debug for MemoryDisk {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("disk")
    }
}

pub struct StandIn {
    pub args: StandInOptions,
    pub db: Mutex<Database>,
    pub log_changed: tokio::sync::Notify,
    pub faults: Arc<Faults>,
    pub state: Mutex<(ServerState, u64)>,
    pub journal: Arc<Journal>,
    pub rejected_reads: AtomicU64,
    /// Long statements that run, by link, so that they can be cancelled.
    pub running_statements:
        Mutex<std::collections::BTreeMap<quincehatch_core::Name, Arc<tokio::sync::Notify>>>,
    pub connections: AtomicU64,
    boot_number: u64,
    heartbeat_sequence: AtomicU64,
    file: Mutex<Option<std::fs::File>>,
}

impl StandIn {
    pub fn open(args: StandInOptions) -> std::io::Result<Arc<StandIn>> {
        let mut db = Database::new(&args.name);
        let (mut file, mut journal) = (None, Arc::<Journal>::default());
        // The boot number rises with each start: from the wall clock, as only this server's own order matters.
        let boot = seam::wall_clock_ms();
        if let Some(dir) = &args.data_dir {
            std::fs::create_dir_all(dir)?;
            let path = dir.join(format!("{}.log", args.name));
            let old = std::fs::read_to_string(&path).unwrap_or_default();
            let lines = old.lines().filter_map(|l| serde_json::from_str::<DiskRecord>(l).ok());
            db = Database::replay(&args.name, lines);
            journal = Arc::new(Journal::open(&dir.join(format!("{}.journal", args.name)))?);
            file = Some(std::fs::OpenOptions::new().append(true).create(true).open(path)?);
        }
        if let Some(d) = &args.memory_disk {
            db = Database::replay(&args.name, d.records.lock().unwrap().iter().cloned());
            journal = d.journal.clone();
        }
        Ok(Arc::new(StandIn {
            args,
            db: Mutex::new(db),
            log_changed: tokio::sync::Notify::new(),
            faults: Arc::default(),
            state: Mutex::new((ServerState::Up, 0)),
            journal,
            rejected_reads: AtomicU64::new(0),
            running_statements: Mutex::default(),
            connections: AtomicU64::new(0),
            boot_number: boot,
            heartbeat_sequence: AtomicU64::new(1),
            file: Mutex::new(file),
        }))
    }

    /// Works on the data; what must last is written before this returns.
    pub fn with_db<T>(&self, f: impl FnOnce(&mut Database) -> T) -> T {
        let mut db = self.db.lock().unwrap();
        let commit = db.commit;
        let t = f(&mut db);
        let lines = std::mem::take(&mut db.unwritten);
        if let Some(d) = &self.args.memory_disk {
            d.records.lock().unwrap().extend(lines.iter().cloned());
        }
        if !lines.is_empty()
            && let Some(file) = self.file.lock().unwrap().as_mut()
        {
            let mut buf = Vec::new();
            for l in &lines {
                let _ = serde_json::to_writer(&mut buf, l);
                buf.push(b'\n');
            }
            if file.write_all(&buf).is_err() {
                log::error!(target: "stand", "the log file did not take a write");
                std::process::exit(1);
            }
        }
        if db.commit != commit || !lines.is_empty() {
            self.log_changed.notify_waiters();
        }
        t
    }
    pub fn stamp(&self) -> Stamp {
        let db = self.db.lock().unwrap();
        Stamp { server: db.name.clone(), fence: db.fence, position: db.commit_position(), role: db.role }
    }
    pub fn heartbeat(&self) -> ServerHeartbeat {
        let (role, fence, position, log_end, whole) = {
            let db = self.db.lock().unwrap();
            (db.role, db.fence, db.commit_position(), db.log_end(), db.is_readable())
        };
        let state = self.state.lock().unwrap().0;
        let shown = self.args.advertised_addr.as_ref().unwrap_or(&self.args.addr);
        ServerHeartbeat {
            server: self.args.name.as_str().into(),
            boot: self.boot_number,
            seq: self.heartbeat_sequence.fetch_add(1, Ordering::Relaxed),
            addr: shown.as_str().into(),
            labels: self.args.labels.clone(),
            role,
            state: if state == ServerState::Up && !whole { ServerState::Starting } else { state },
            fence,
            position,
            log_end,
        }
    }
    pub fn success(&self, rows: Value) -> Value {
        json!({"stamp": self.stamp(), "rows": rows})
    }
    pub fn failure(&self, code: &str, text: impl std::fmt::Display) -> Value {
        json!({"stamp": self.stamp(), "error": {"code": code, "text": text.to_string()}})
    }
    /// Rises with every start, so that no two lives give a transaction the same number.
    pub fn boot(&self) -> u64 {
        self.boot_number & 0xffff_ffff
    }
    pub fn is_primary(&self) -> bool {
        self.db.lock().unwrap().role == Role::Primary
    }
    pub fn log_end(&self) -> Position {
        self.db.lock().unwrap().log_end()
    }
    /// New work is counted once the server has been leaving for over 7 s (§1 N9).
    pub fn check_drain_limit(&self) {
        let (s, at) = *self.state.lock().unwrap();
        if s == ServerState::Draining && now() > at + 7_000 {
            self.journal.record(JournalEntry::Late);
        }
    }
}

/// Serves until the process ends.
pub async fn serve(args: StandInOptions) -> std::io::Result<()> {
    let lst = tokio::net::TcpListener::bind(&args.addr).await?;
    let s = StandIn::open(args)?;
    log::info!(target: "stand", "server {} listens on {}", s.args.name, s.args.addr);
    if let Some(at) = &s.args.advertised_addr {
        crate::relay::start_relay(at, s.args.addr.clone(), s.faults.clone()).await?;
    }
    seam::spawn(replication::follow_primary(s.clone()));
    seam::spawn(replication::send_heartbeats(s.clone()));
    http_server::accept_connections(s, lst).await
}
