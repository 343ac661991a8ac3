//! The newest entries of the replicated log, retained in packed form for members that lag behind.
use crate::command::Entry;
use crate::compression::PackedBytes;
use crate::limits::{LOG_MAX_BYTES, LOG_MAX_ENTRIES};
use quincehatch_core::{ChangeNumber, messages};
use std::collections::VecDeque;

messages! {
    /// An entry that is serialised and packed once. It is retained in memory, stored on disk and sent in this form.
    #[derive(Eq)]
    pub struct PackedEntry {
        /// The number of the entry.
        pub number: ChangeNumber,
        /// The serialised entry.
        pub bytes: PackedBytes
    }
}

impl PackedEntry {
    /// Packs an entry.
    pub fn pack(entry: &Entry) -> Self {
        let serialised = borsh::to_vec(entry).unwrap_or_default();
        Self { number: entry.number, bytes: PackedBytes::pack(serialised) }
    }

    /// Returns the entry; `None` if the bytes are damaged or contain another number.
    pub fn unpack(&self) -> Option<Entry> {
        let serialised = self.bytes.unpack()?;
        let entry: Entry = borsh::from_slice(&serialised).ok()?;
        (entry.number == self.number).then_some(entry)
    }

    /// Returns the length of the packed form, in bytes.
    pub fn size(&self) -> usize {
        self.bytes.size()
    }
}

/// Consecutive entries up to the newest one. The oldest are dropped when there are more than [`LOG_MAX_ENTRIES`] or
/// they take more than [`LOG_MAX_BYTES`]; the newest entry is always retained.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryLog {
    entries: VecDeque<PackedEntry>,
    bytes: usize,
}

impl EntryLog {
    /// Adds the entry that follows the newest one.
    pub fn push_back(&mut self, entry: PackedEntry) {
        self.bytes += entry.size();
        self.entries.push_back(entry);
        while self.exceeds_limits() {
            self.pop_front();
        }
    }

    fn exceeds_limits(&self) -> bool {
        let is_too_large = self.entries.len() > 1 && self.bytes > LOG_MAX_BYTES;
        self.entries.len() > LOG_MAX_ENTRIES || is_too_large
    }

    /// Removes the oldest entry.
    pub fn pop_front(&mut self) -> Option<PackedEntry> {
        let entry = self.entries.pop_front()?;
        self.bytes -= entry.size();
        Some(entry)
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the log contains no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the packed entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Iterates over the entries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &PackedEntry> {
        self.entries.iter()
    }

    /// Returns whether the log contains every existing entry that follows `number`; `false` if the log is empty.
    pub fn reaches_back_to(&self, number: ChangeNumber) -> bool {
        self.entries.front().is_some_and(|oldest| oldest.number <= number + 1)
    }

    /// Returns the entries that follow `number`, up to `max_bytes` but at least one; `None` if some of them were
    /// dropped.
    pub fn entries_after(&self, number: ChangeNumber, max_bytes: usize) -> Option<Vec<PackedEntry>> {
        if !self.reaches_back_to(number) {
            return None;
        }
        let mut following = Vec::new();
        let mut bytes = 0;
        for entry in self.entries.iter().filter(|entry| entry.number > number) {
            bytes += entry.size();
            if bytes > max_bytes && !following.is_empty() {
                break;
            }
            following.push(entry.clone());
        }
        Some(following)
    }
}
