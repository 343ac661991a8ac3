//! The texts that clients' sessions leave at the proxy: prepared statements, which equal texts share, and settings. All of
//! them together stay within a budget, whatever clients send.
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, Name};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

/// The budget for prepared texts, in bytes.
pub const PREPARED_TEXT_BUDGET: usize = 32 << 20;
/// The budget for the settings of all sessions, in bytes.
pub const SETTINGS_BUDGET: usize = 16 << 20;
/// The memory that an entry takes beside its text, in bytes.
const ENTRY_OVERHEAD: usize = 256;

/// A prepared statement under the proxy's own name for it. Sessions that prepare an equal text share it.
#[derive(Debug)]
pub struct PreparedStatement {
    /// The proxy's name, which no other text has or had.
    pub name: Name,
    /// Whether it writes.
    pub write: bool,
    /// The text.
    pub template: Bytes,
}

#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct TextKey {
    write: bool,
    template: Bytes,
}

struct Entry {
    statement: Arc<PreparedStatement>,
    used: u64,
}

/// The prepared texts that sessions share. Texts that no session holds any more are kept for the next session that prepares
/// them, so that servers need not prepare them again; the least recently used ones are dropped beyond the budget.
#[derive(Default)]
pub struct PreparedTexts(Mutex<TextTable>);

#[derive(Default)]
struct TextTable {
    by_key: HashMap<TextKey, Entry>,
    by_use: BTreeMap<u64, TextKey>,
    /// Numbers texts and uses. No number is given twice, so that no name on a connection ever means another text.
    last_number: u64,
    bytes: usize,
}

impl PreparedTexts {
    /// Returns the statement for a text.
    ///
    /// # Errors
    /// `TooLarge` if the texts that sessions hold leave no room for it.
    pub fn prepare(&self, write: bool, template: &Bytes) -> Result<Arc<PreparedStatement>, Error> {
        let mut table = self.0.lock().unwrap();
        let key = TextKey { write, template: template.clone() };
        if let Some(statement) = table.touch(&key) {
            return Ok(statement);
        }
        if !table.make_room(template.len() + ENTRY_OVERHEAD) {
            return Err(ErrorCode::TooLarge.with_detail("sessions hold too many prepared statements"));
        }
        Ok(table.insert(key))
    }

    /// Returns the memory that the texts take, in bytes.
    pub fn bytes(&self) -> usize {
        self.0.lock().unwrap().bytes
    }
}

impl TextTable {
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the entry's statement and makes it the most recently used one.
    fn touch(&mut self, key: &TextKey) -> Option<Arc<PreparedStatement>> {
        let used = self.next_number();
        let entry = self.by_key.get_mut(key)?;
        let key = self.by_use.remove(&entry.used)?;
        entry.used = used;
        self.by_use.insert(used, key);
        Some(entry.statement.clone())
    }

    fn insert(&mut self, key: TextKey) -> Arc<PreparedStatement> {
        let number = self.next_number();
        // The client's text is part of a larger buffer, which must not be kept.
        let template = Bytes::copy_from_slice(&key.template);
        let key = TextKey { write: key.write, template: template.clone() };
        self.bytes += template.len() + ENTRY_OVERHEAD;
        let name = format!("p{number}").into();
        let statement = Arc::new(PreparedStatement { name, write: key.write, template });
        self.by_use.insert(number, key.clone());
        self.by_key.insert(key, Entry { statement: statement.clone(), used: number });
        statement
    }

    /// Drops the least recently used texts that no session holds until `bytes` more fit. Returns whether they do.
    fn make_room(&mut self, bytes: usize) -> bool {
        let mut unchecked = self.by_use.len();
        while self.bytes + bytes > PREPARED_TEXT_BUDGET && unchecked > 0 {
            unchecked -= 1;
            let Some((_, key)) = self.by_use.pop_first() else { break };
            let is_held = self.by_key.get(&key).is_some_and(|entry| Arc::strong_count(&entry.statement) > 1);
            if is_held {
                self.requeue(key);
            } else {
                self.by_key.remove(&key);
                self.bytes -= key.template.len() + ENTRY_OVERHEAD;
            }
        }
        self.bytes + bytes <= PREPARED_TEXT_BUDGET
    }

    /// Makes a held text the most recently used one, so that it is not checked again soon.
    fn requeue(&mut self, key: TextKey) {
        let used = self.next_number();
        if let Some(entry) = self.by_key.get_mut(&key) {
            entry.used = used;
        }
        self.by_use.insert(used, key);
    }
}

/// A part of a budget that is given back when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<AtomicUsize>,
    bytes: usize,
}

/// The memory of the settings of all sessions.
#[derive(Clone, Debug, Default)]
pub struct SettingsBudget(Arc<AtomicUsize>);

impl SettingsBudget {
    /// Reserves memory for a setting.
    ///
    /// # Errors
    /// `TooLarge` if the budget is spent.
    pub fn reserve(&self, text_bytes: usize) -> Result<Reservation, Error> {
        let bytes = text_bytes + ENTRY_OVERHEAD;
        if self.0.fetch_add(bytes, Ordering::SeqCst) + bytes > SETTINGS_BUDGET {
            self.0.fetch_sub(bytes, Ordering::SeqCst);
            return Err(ErrorCode::TooLarge.with_detail("sessions hold too many settings"));
        }
        Ok(Reservation { budget: self.0.clone(), bytes })
    }

    /// Returns the reserved memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.fetch_sub(self.bytes, Ordering::SeqCst);
    }
}
