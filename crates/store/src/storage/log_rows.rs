//! Which log entries the file of a keeper holds, and when a snapshot is due.
use crate::limits::{LOG_MAX_ENTRIES, SNAPSHOT_INTERVAL_ENTRIES};
use crate::storage::disk_limits::DiskLimits;
use quincehatch_core::ChangeNumber;
use std::collections::VecDeque;

/// An entry that the file holds.
#[derive(Clone, Copy, Debug)]
struct LogRow {
    number: ChangeNumber,
    bytes: usize,
}

/// The log entries that the file holds, oldest first.
#[derive(Debug, Default)]
pub(super) struct LogRows {
    rows: VecDeque<LogRow>,
    bytes: usize,
    entries_since_snapshot: usize,
    bytes_since_snapshot: usize,
}

impl LogRows {
    /// Counts an entry. `is_in_snapshot`: the snapshot in the file reflects it already.
    pub fn push(&mut self, number: ChangeNumber, bytes: usize, is_in_snapshot: bool) {
        self.rows.push_back(LogRow { number, bytes });
        self.bytes += bytes;
        if !is_in_snapshot {
            self.entries_since_snapshot += 1;
            self.bytes_since_snapshot += bytes;
        }
    }

    /// Notes a new snapshot and drops the oldest rows that the limits leave no room for; the number of the first row
    /// that stays. The newest row always stays.
    pub fn truncate(&mut self, limits: &DiskLimits) -> Option<ChangeNumber> {
        self.entries_since_snapshot = 0;
        self.bytes_since_snapshot = 0;
        while self.exceeds(limits) {
            let dropped = self.rows.pop_front()?;
            self.bytes -= dropped.bytes;
        }
        self.rows.front().map(|row| row.number)
    }

    fn exceeds(&self, limits: &DiskLimits) -> bool {
        let is_too_large = self.rows.len() > 1 && self.bytes > limits.log_bytes;
        self.rows.len() > LOG_MAX_ENTRIES || is_too_large
    }

    /// Have enough entries been written since the last snapshot, by number or by size, that the next one is due?
    pub fn is_snapshot_due(&self, limits: &DiskLimits) -> bool {
        self.entries_since_snapshot >= SNAPSHOT_INTERVAL_ENTRIES
            || self.bytes_since_snapshot >= limits.snapshot_bytes
    }
}
