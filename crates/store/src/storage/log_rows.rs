//! Accounting of the log entries in the file of a keeper, which decides when a snapshot is due and which entries to
//! drop.
use crate::limits::{LOG_MAX_ENTRIES, SNAPSHOT_INTERVAL_ENTRIES};
use crate::storage::disk_limits::DiskLimits;
use quincehatch_core::ChangeNumber;
use std::collections::VecDeque;

/// Number and size of a log entry in the file.
#[derive(Clone, Copy, Debug)]
struct LogRow {
    number: ChangeNumber,
    bytes: usize,
}

/// The log entries in the file, oldest first.
#[derive(Debug, Default)]
pub(super) struct LogRows {
    rows: VecDeque<LogRow>,
    bytes: usize,
    entries_since_snapshot: usize,
    bytes_since_snapshot: usize,
}

impl LogRows {
    /// Adds an entry. `is_in_snapshot` says whether the snapshot in the file already reflects the entry.
    pub fn push(&mut self, number: ChangeNumber, bytes: usize, is_in_snapshot: bool) {
        self.rows.push_back(LogRow { number, bytes });
        self.bytes += bytes;
        if !is_in_snapshot {
            self.entries_since_snapshot += 1;
            self.bytes_since_snapshot += bytes;
        }
    }

    /// Resets the counts since the last snapshot and drops the oldest rows beyond the limits; the newest row is always
    /// retained. Returns the number of the first retained row.
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

    /// Whether the next snapshot is due: enough entries, by number or by size, were written since the last one.
    pub fn is_snapshot_due(&self, limits: &DiskLimits) -> bool {
        self.entries_since_snapshot >= SNAPSHOT_INTERVAL_ENTRIES
            || self.bytes_since_snapshot >= limits.snapshot_bytes
    }
}
