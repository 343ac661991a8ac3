//! A simulated disk: synced records outlive the process, records that wait for their sync may be lost.
use quincehatch_core::{Error, ErrorCode, Millis};
use quincehatch_store::limits::SNAPSHOT_INTERVAL_ENTRIES;
use quincehatch_store::record::{Record, RecoveredState};

#[derive(Debug, Default)]
pub struct Disk {
    /// The keeper's name, written when its folder is made.
    pub name: String,
    synced: RecoveredState,
    /// The synced state as of the last snapshot, after which the log was truncated.
    snapshot: RecoveredState,
    /// Entries since that snapshot.
    entries_since_snapshot: usize,
    /// Records that were written but are not synced yet.
    pending: Vec<Record>,
    /// When the disk was installed, empty; 0 for the disks of the first start.
    pub created_at: Millis,
    /// Duration of one sync.
    pub sync_ms: Millis,
    /// Time before which no sync ends.
    pub stalled_until: Millis,
    /// Time before which syncs fail for lack of space.
    pub full_until: Millis,
}

impl Disk {
    pub fn new(name: String, initial_state: RecoveredState, sync_ms: Millis) -> Disk {
        Disk { name, snapshot: initial_state.clone(), synced: initial_state, sync_ms, ..Default::default() }
    }
    /// Returns the state from which a process starts.
    pub fn recover(&self) -> RecoveredState {
        self.synced.clone()
    }
    /// Returns an older state than what was synced, from which only an injected bug starts.
    pub fn recover_stale(&self) -> RecoveredState {
        RecoveredState {
            acceptor: self.synced.acceptor.clone(),
            view: self.synced.view.clone(),
            served_version: self.synced.served_version,
            ..self.snapshot.clone()
        }
    }
    pub fn write(&mut self, records: Vec<Record>) {
        self.pending = records;
    }
    /// Ends the sync in progress; a full disk fails it and drops the records.
    pub fn sync(&mut self, now: Millis) -> Result<(), Error> {
        if self.full_until > now {
            self.pending.clear();
            return Err(ErrorCode::DiskFailed.with_detail("no space left"));
        }
        self.sync_pending();
        Ok(())
    }
    /// Makes the written records durable.
    pub fn sync_pending(&mut self) {
        for record in std::mem::take(&mut self.pending) {
            self.apply(record);
        }
    }
    /// Reopens the disk, which fails while it is full.
    pub fn probe(&self, now: Millis) -> Result<RecoveredState, Error> {
        match self.full_until > now {
            true => Err(ErrorCode::DiskFailed.with_detail("no space left")),
            false => Ok(self.recover()),
        }
    }
    /// Drops the written records, as when the process ends during a sync.
    pub fn lose_pending(&mut self) {
        self.pending.clear();
    }

    fn apply(&mut self, record: Record) {
        let synced = &mut self.synced;
        match record {
            Record::Acceptor { acceptor } => synced.acceptor = acceptor,
            Record::View { view } => synced.view = view,
            Record::Served { version } => synced.served_version = version,
            Record::CatchingUp { catching_up } => synced.catching_up = catching_up,
            Record::Snapshot { store } => {
                synced.store = *store;
                synced.log.clear();
            }
            Record::Entry { entry } => {
                if let Some(unpacked) = entry.unpack() {
                    synced.store.apply(&unpacked);
                }
                synced.log.push_back(entry);
                self.count_entry();
            }
        }
    }

    fn count_entry(&mut self) {
        self.entries_since_snapshot += 1;
        if self.entries_since_snapshot >= SNAPSHOT_INTERVAL_ENTRIES {
            self.entries_since_snapshot = 0;
            self.snapshot = self.synced.clone();
        }
    }
}
