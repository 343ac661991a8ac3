//! Storage of a stand-in's log and journal: a folder, a disk of the simulator, or memory only.
use super::StandInOptions;
use super::journal::Journal;
use crate::database::DiskRecord;
use std::fs::{File, OpenOptions};
use std::io::{self, Write as _};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// A disk that outlives the server's simulated process.
#[derive(Default)]
pub struct MemoryDisk {
    records: Mutex<Vec<DiskRecord>>,
    /// The journal of the server.
    pub journal: Arc<Journal>,
}

impl std::fmt::Debug for MemoryDisk {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("disk")
    }
}

/// The storage of one incarnation.
pub(super) struct Storage {
    /// The records that earlier incarnations wrote.
    pub(super) recorded: Vec<DiskRecord>,
    pub(super) journal: Arc<Journal>,
    file: Mutex<Option<File>>,
    memory_disk: Option<Arc<MemoryDisk>>,
}

impl Storage {
    pub(super) fn open(options: &StandInOptions) -> io::Result<Storage> {
        if let Some(disk) = &options.memory_disk {
            return Ok(Storage {
                recorded: disk.records.lock().unwrap().clone(),
                journal: disk.journal.clone(),
                file: Mutex::new(None),
                memory_disk: Some(disk.clone()),
            });
        }
        match &options.data_dir {
            Some(dir) => Storage::in_folder(dir, &options.name),
            None => Ok(Storage {
                recorded: Vec::new(),
                journal: Arc::default(),
                file: Mutex::new(None),
                memory_disk: None,
            }),
        }
    }

    fn in_folder(dir: &Path, name: &str) -> io::Result<Storage> {
        std::fs::create_dir_all(dir)?;
        let path = dir.join(format!("{name}.log"));
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        // A last line that a crash truncated was never acknowledged.
        let recorded = text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        let journal = Arc::new(Journal::open(&dir.join(format!("{name}.journal")))?);
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Storage { recorded, journal, file: Mutex::new(Some(file)), memory_disk: None })
    }

    /// Makes records durable. A failed write to the file ends the process, as in a database.
    pub(super) fn write(&self, records: &[DiskRecord]) {
        if records.is_empty() {
            return;
        }
        if let Some(disk) = &self.memory_disk {
            disk.records.lock().unwrap().extend(records.iter().cloned());
        }
        let mut file = self.file.lock().unwrap();
        let Some(file) = file.as_mut() else { return };
        let mut lines = Vec::new();
        for record in records {
            let _ = serde_json::to_writer(&mut lines, record);
            lines.push(b'\n');
        }
        if file.write_all(&lines).is_err() {
            log::error!(target: "stand_in", "writing to the log file failed");
            std::process::exit(1);
        }
    }
}
