//! A stand-in database server over HTTP: it stores data, replicates, sends heartbeats, and supports fault injection.
pub mod calls;
mod commits;
pub mod faults;
pub mod http_server;
pub mod journal;
mod lab_calls;
pub mod replication;
mod storage;

use crate::database::Database;
use faults::Faults;
use journal::{Journal, JournalEntry};
use quincehatch_core::{Labels, Millis, Name, Position, Role, ServerHeartbeat, ServerState, Stamp};
use quincehatch_runtime::{now, seam};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Display;
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
pub use storage::MemoryDisk;
use storage::Storage;
use tokio::sync::Notify;

/// New work that arrives later than this after the server began to drain is a violation (check N9).
const DRAIN_LIMIT: Millis = 7_000;
/// Bits of the boot number that are part of transaction ids.
const BOOT_NUMBER_MASK: u64 = 0xffff_ffff;

/// Start options of a stand-in.
#[derive(Clone, Debug, Default)]
pub struct StandInOptions {
    /// Its name.
    pub name: String,
    /// Address that the stand-in listens on.
    pub addr: String,
    /// Labels in its heartbeats.
    pub labels: Labels,
    /// Addresses of the other servers of its group.
    pub peers: Vec<String>,
    /// Operator listeners of the nodes that it sends heartbeats to.
    pub operator_addresses: Vec<String>,
    /// Folder of its log and journal.
    pub data_dir: Option<PathBuf>,
    /// Disk of the simulator, used instead of a folder.
    pub memory_disk: Option<Arc<MemoryDisk>>,
    /// The address announced to nodes if a relay is in front of the server.
    pub advertised_addr: Option<String>,
}

/// A running stand-in.
pub struct StandIn {
    /// Its start options.
    pub options: StandInOptions,
    /// Its data.
    pub db: Mutex<Database>,
    /// Notified when the log or its commit position changes.
    pub log_changed: Notify,
    /// Its injected faults.
    pub faults: Arc<Faults>,
    /// The state that it announces, and since when.
    pub state: Mutex<(ServerState, Millis)>,
    /// The journal of its actions.
    pub journal: Arc<Journal>,
    /// Number of reads rejected because the server was starting.
    pub rejected_reads: AtomicU64,
    /// Long statements in execution by connection, so that they can be cancelled.
    pub running_statements: Mutex<BTreeMap<Name, Arc<Notify>>>,
    /// Number of open connections.
    pub connections: AtomicU64,
    boot_number: u64,
    heartbeat_sequence: AtomicU64,
    storage: Storage,
}

impl StandIn {
    /// Opens the stand-in's storage and replays the records that earlier processes wrote.
    pub fn open(options: StandInOptions) -> io::Result<Arc<StandIn>> {
        let storage = Storage::open(&options)?;
        let db = Database::replay(&options.name, storage.recorded.iter().cloned());
        Ok(Arc::new(StandIn {
            options,
            db: Mutex::new(db),
            log_changed: Notify::new(),
            faults: Arc::default(),
            state: Mutex::new((ServerState::Up, 0)),
            journal: storage.journal.clone(),
            rejected_reads: AtomicU64::new(0),
            running_statements: Mutex::default(),
            connections: AtomicU64::new(0),
            // The wall clock rises with each start. Only the order among starts of this server matters.
            boot_number: seam::wall_clock_ms(),
            heartbeat_sequence: AtomicU64::new(1),
            storage,
        }))
    }

    /// Runs `work` on the data and writes all new durable records before it returns.
    pub fn with_db<T>(&self, work: impl FnOnce(&mut Database) -> T) -> T {
        let mut db = self.db.lock().unwrap();
        let commit = db.commit;
        let result = work(&mut db);
        let records = std::mem::take(&mut db.unwritten);
        self.storage.write(&records);
        if db.commit != commit || !records.is_empty() {
            self.log_changed.notify_waiters();
        }
        result
    }

    /// Returns the stamp of a reply.
    pub fn stamp(&self) -> Stamp {
        let db = self.db.lock().unwrap();
        Stamp { server: db.name.clone(), fence: db.fence, position: db.commit_position(), role: db.role }
    }

    /// Returns the next heartbeat.
    pub fn heartbeat(&self) -> ServerHeartbeat {
        let announced = self.state.lock().unwrap().0;
        let addr = self.options.advertised_addr.as_ref().unwrap_or(&self.options.addr);
        let db = self.db.lock().unwrap();
        let is_starting = announced == ServerState::Up && !db.is_readable();
        ServerHeartbeat {
            server: self.options.name.as_str().into(),
            boot: self.boot_number,
            seq: self.heartbeat_sequence.fetch_add(1, Ordering::Relaxed),
            addr: addr.as_str().into(),
            labels: self.options.labels.clone(),
            role: db.role,
            state: if is_starting { ServerState::Starting } else { announced },
            fence: db.fence,
            position: db.commit_position(),
            log_end: db.log_end(),
        }
    }

    /// Returns a success reply.
    pub fn success(&self, rows: Value) -> Value {
        json!({"stamp": self.stamp(), "rows": rows})
    }

    /// Returns a reply with an error of the server contract.
    pub fn failure(&self, code: &str, text: impl Display) -> Value {
        json!({"stamp": self.stamp(), "error": {"code": code, "text": text.to_string()}})
    }

    /// Returns the boot number for transaction ids. It rises with each start, so that no two incarnations use the same
    /// id.
    pub fn boot(&self) -> u64 {
        self.boot_number & BOOT_NUMBER_MASK
    }

    /// Returns whether the server is primary under any fence.
    pub fn is_primary(&self) -> bool {
        self.db.lock().unwrap().role == Role::Primary
    }

    /// Returns the end of its log.
    pub fn log_end(&self) -> Position {
        self.db.lock().unwrap().log_end()
    }

    /// Journals new work that arrives after the time limit for draining.
    pub fn check_drain_limit(&self) {
        let (state, since) = *self.state.lock().unwrap();
        if state == ServerState::Draining && now() > since + DRAIN_LIMIT {
            self.journal.record(JournalEntry::Late);
        }
    }
}

/// Serves until the process ends.
pub async fn serve(options: StandInOptions) -> io::Result<()> {
    let listener = tokio::net::TcpListener::bind(&options.addr).await?;
    let server = StandIn::open(options)?;
    let StandInOptions { name, addr, advertised_addr, .. } = &server.options;
    log::info!(target: "stand_in", "server {name} listens on {addr}");
    if let Some(relay_addr) = advertised_addr {
        crate::relay::start_relay(relay_addr, addr.clone(), server.faults.clone()).await?;
    }
    seam::spawn(replication::follow_primary(server.clone()));
    seam::spawn(replication::send_heartbeats(server.clone()));
    http_server::accept_connections(server.clone(), listener).await
}
