//! A simulated disk: what is synced outlives the process, what waits for its sync may not.
use quincehatch_core::{Error, ErrorCode, Millis};
use quincehatch_store::limits::SNAPSHOT_INTERVAL_ENTRIES;
use quincehatch_store::record::{Record, RecoveredState};

#[derive(Debug, Default)]
pub struct Disk {
    /// The keeper's name, written when its folder is made.
    pub name: String,
    synced: RecoveredState,
    /// As it was when the log was last cut.
    snapshot: RecoveredState,
    since_snapshot: usize,
    /// Handed over, not synced yet.
    pending: Vec<Record>,
    /// When it was put in, empty.
    pub born_at: Millis,
    /// Time of one sync.
    pub sync_ms: Millis,
    /// No sync ends before that time.
    pub stalled_until: Millis,
    /// Writes are refused until that time.
    pub full_until: Millis,
}

impl Disk {
    pub fn new(name: String, found: RecoveredState, sync_ms: Millis) -> Disk {
        Disk { name, snapshot: found.clone(), synced: found, sync_ms, ..Default::default() }
    }
    /// What a process that starts finds.
    pub fn recover(&self) -> RecoveredState {
        self.synced.clone()
    }
    /// An older state than what was synced: only a deliberate bug starts from it.
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
    /// Ends the write that is under way.
    pub fn sync(&mut self, now: Millis) -> Result<(), Error> {
        if self.full_until > now {
            self.pending.clear();
            return Err(ErrorCode::DiskFailed.with_detail("no space left"));
        }
        self.sync_pending();
        Ok(())
    }
    /// What was written becomes durable.
    pub fn sync_pending(&mut self) {
        for record in std::mem::take(&mut self.pending) {
            self.apply(record);
        }
    }
    /// Opens the folder anew, if it takes writes.
    pub fn probe(&self, now: Millis) -> Result<RecoveredState, Error> {
        match self.full_until > now {
            true => Err(ErrorCode::DiskFailed.with_detail("no space left")),
            false => Ok(self.recover()),
        }
    }
    /// The process ended in the midst of a sync.
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
        self.since_snapshot += 1;
        if self.since_snapshot >= SNAPSHOT_INTERVAL_ENTRIES {
            self.since_snapshot = 0;
            self.snapshot = self.synced.clone();
        }
    }
}
