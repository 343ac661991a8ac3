//! A stand-in database server over HTTP: it keeps data, replicates, sends heartbeats, and can be made to fail.
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

/// New work that comes so long after the server began to drain is a violation (check N9).
const DRAIN_LIMIT: Millis = 7_000;
/// Bits of the boot number that go into the numbers of transactions.
const BOOT_NUMBER_MASK: u64 = 0xffff_ffff;

/// What a stand-in is started with.
#[derive(Clone, Debug, Default)]
pub struct StandInOptions {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub addr: String,
    /// Labels that its heartbeats carry.
    pub labels: Labels,
    /// Addresses of the other servers of its group.
    pub peers: Vec<String>,
    /// Operator listeners of the nodes that it sends heartbeats to.
    pub operator_addresses: Vec<String>,
    /// Folder of its log and journal.
    pub data_dir: Option<PathBuf>,
    /// In place of a folder: a disk of the simulator.
    pub memory_disk: Option<Arc<MemoryDisk>>,
    /// The address that nodes are told, where a relay stands before the server.
    pub advertised_addr: Option<String>,
}

/// A running stand-in.
pub struct StandIn {
    /// What it was started with.
    pub options: StandInOptions,
    /// Its data.
    pub db: Mutex<Database>,
    /// Notified when the log or its commit position changed.
    pub log_changed: Notify,
    /// What goes wrong in it.
    pub faults: Arc<Faults>,
    /// The state it announces, and since when.
    pub state: Mutex<(ServerState, Millis)>,
    /// What it did.
    pub journal: Arc<Journal>,
    /// Reads it rejected because it was starting.
    pub rejected_reads: AtomicU64,
    /// Long statements in execution by connection, so that they can be cancelled.
    pub running_statements: Mutex<BTreeMap<Name, Arc<Notify>>>,
    /// Open connections.
    pub connections: AtomicU64,
    boot_number: u64,
    heartbeat_sequence: AtomicU64,
    storage: Storage,
}

impl StandIn {
    /// Opens its data; what an earlier process wrote is replayed.
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
            // It rises with each start: the wall clock does, and only this server's own order matters.
            boot_number: seam::wall_clock_ms(),
            heartbeat_sequence: AtomicU64::new(1),
            storage,
        }))
    }

    /// Works on the data; what must be durable is written before this returns.
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

    /// The stamp of a reply.
    pub fn stamp(&self) -> Stamp {
        let db = self.db.lock().unwrap();
        Stamp { server: db.name.clone(), fence: db.fence, position: db.commit_position(), role: db.role }
    }

    /// The next heartbeat.
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

    /// A reply that tells a success.
    pub fn success(&self, rows: Value) -> Value {
        json!({"stamp": self.stamp(), "rows": rows})
    }

    /// A reply that tells an error of the server contract.
    pub fn failure(&self, code: &str, text: impl Display) -> Value {
        json!({"stamp": self.stamp(), "error": {"code": code, "text": text.to_string()}})
    }

    /// Rises with each start, so that no two incarnations number transactions alike.
    pub fn boot(&self) -> u64 {
        self.boot_number & BOOT_NUMBER_MASK
    }

    /// True while it is primary, under whatever fence.
    pub fn is_primary(&self) -> bool {
        self.db.lock().unwrap().role == Role::Primary
    }

    /// The end of its log.
    pub fn log_end(&self) -> Position {
        self.db.lock().unwrap().log_end()
    }

    /// Notes new work that comes though the server has drained for too long.
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
