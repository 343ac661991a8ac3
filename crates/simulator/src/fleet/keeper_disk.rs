//! A keeper's disk in the simulator: it holds exactly what was synced.
use quincehatch_store::record::{Record, RecoveredState};
use std::sync::{Arc, Mutex};

/// The content of a keeper's disk, which outlives the keeper's process.
pub type Disk = Arc<Mutex<RecoveredState>>;

/// Makes a record durable. With `loses_entries`, an injected bug, log entries are lost.
pub(super) fn persist(disk: &Disk, record: &Record, loses_entries: bool) {
    let mut disk = disk.lock().unwrap();
    match record {
        Record::Acceptor { acceptor } => disk.acceptor = acceptor.clone(),
        Record::View { view } => disk.view = view.clone(),
        Record::Served { version } => disk.served_version = *version,
        Record::CatchingUp { catching_up } => disk.catching_up = *catching_up,
        Record::Snapshot { store } => {
            disk.store = store.as_ref().clone();
            disk.log.clear();
        }
        Record::Entry { .. } if loses_entries => {}
        Record::Entry { entry } => {
            disk.store.apply(&entry.unpack().expect("an entry that was packed here"));
            disk.log.push_back(entry.clone());
        }
    }
}
