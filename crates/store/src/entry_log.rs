//! The newest entries of the chain, kept packed for members that lag behind; bounded in number and in bytes (§5.7).
use crate::messages::Entry;
use crate::packed::PackedBytes;
use crate::terms::{LOG_MAX_BYTES, LOG_MAX_ENTRIES};
use quincehatch_core::{ChangeNumber, messages};
use std::collections::VecDeque;

messages! {
    /// An entry, serialised and packed once: so it is kept in memory, written to disk and passed down the chain.
    #[derive(Eq)]
    pub struct PackedEntry { pub number: ChangeNumber, pub bytes: PackedBytes }
}

impl PackedEntry {
    pub fn pack(entry: &Entry) -> Self {
        let bytes = borsh::to_vec(entry).unwrap_or_default();
        Self { number: entry.number, bytes: PackedBytes::pack(bytes) }
    }

    /// The entry; `None` if the bytes are damaged or hold another number.
    pub fn unpack(&self) -> Option<Entry> {
        let bytes = self.bytes.unpack()?;
        let entry: Entry = borsh::from_slice(&bytes).ok()?;
        (entry.number == self.number).then_some(entry)
    }

    pub fn size(&self) -> usize {
        self.bytes.size()
    }
}

/// Consecutive entries up to the newest one. The oldest are dropped when there are more than [`LOG_KEEP`] or they take
/// more than [`LOG_BYTES`]; the newest always stays.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryLog {
    entries: VecDeque<PackedEntry>,
    bytes: usize,
}

impl EntryLog {
    pub fn push_back(&mut self, entry: PackedEntry) {
        self.bytes += entry.size();
        self.entries.push_back(entry);
        while self.entries.len() > LOG_MAX_ENTRIES || (self.entries.len() > 1 && self.bytes > LOG_MAX_BYTES) {
            self.pop_front();
        }
    }

    pub fn pop_front(&mut self) -> Option<PackedEntry> {
        let entry = self.entries.pop_front()?;
        self.bytes -= entry.size();
        Some(entry)
    }

    pub fn clear(&mut self) {
        *self = Self::default();
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes that the packed entries take together.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn iter(&self) -> impl Iterator<Item = &PackedEntry> {
        self.entries.iter()
    }

    /// Does the log hold every entry that follows `n`, as far as there are any?
    pub fn reaches_back_to(&self, n: ChangeNumber) -> bool {
        self.entries.front().is_some_and(|first| first.number <= n + 1)
    }

    /// The entries that follow `n`, as many as `most` bytes hold but at least one; `None` if they were dropped.
    pub fn entries_after(&self, n: ChangeNumber, most: usize) -> Option<Vec<PackedEntry>> {
        if !self.reaches_back_to(n) {
            return None;
        }
        let mut taken = Vec::new();
        let mut bytes = 0;
        for entry in self.entries.iter().filter(|e| e.number > n) {
            bytes += entry.size();
            if bytes > most && !taken.is_empty() {
                break;
            }
            taken.push(entry.clone());
        }
        Some(taken)
    }
}
