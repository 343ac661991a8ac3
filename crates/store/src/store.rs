//! The replicated state machine. All keepers apply the same log entries in the same order, so every operation on the
//! store is deterministic: it depends on no clock, no random number and no property of the machine.

mod commands;
mod delayed_heartbeats;
mod departures;
mod documents;
mod history;
mod primaries;
mod servers;
mod trailing_field;

pub use departures::{Departure, MAX_DEPARTURES};
pub use documents::{
    DocumentOutcome, DocumentRegister, MAX_RECORDED_DOCUMENTS, RecordedDocument, document_digest,
};
pub use history::HistoryEntry;
pub use primaries::promotion_role_key;
pub(crate) use servers::upsert_server;

use crate::command::{Answer, Command, Entry, PrimaryState};
use quincehatch_core::{
    ChangeNumber, ErrorCode, FencingToken, Name, PrimaryAssignment, ServerRecord, Version, hash64, messages,
};
use std::collections::{BTreeMap, VecDeque};

/// Number of answers that are retained, so that a retried write is applied only once.
pub const MAX_ANSWERED_WRITES: usize = 1024;

messages! {
    /// A write that was applied, and its answer. The answer is returned again if the write is retried.
    #[derive(Eq)]
    pub struct AnsweredWrite {
        /// Idempotency key of the write.
        pub key: Name,
        /// Number of the entry that applied the write.
        pub number: ChangeNumber,
        /// Digest of the command.
        pub digest: u64,
        /// The answer.
        pub answer: Answer
    }

    /// The newest fencing token of a singleton role.
    #[derive(Eq)]
    pub struct IssuedFence {
        /// The token.
        pub fence: FencingToken,
        /// Name of the node that acquired the token.
        pub holder: Name
    }

    /// The replicated state. It is stored on disk in borsh, so new fields are added at the end.
    #[derive(Eq, Default)]
    pub struct Store {
        /// Number of the last entry that was applied.
        pub last_change: ChangeNumber,
        /// The retained configurations, oldest first; the last one is in force.
        pub history: VecDeque<HistoryEntry>,
        /// The newest fencing token of each singleton role.
        pub fences: BTreeMap<Name, IssuedFence>,
        /// The primary of each group.
        pub primaries: BTreeMap<Name, PrimaryAssignment>,
        /// The most recent writes that were applied, oldest first.
        pub answers: VecDeque<AnsweredWrite>,
        /// The operator's document in force; `None` before the first one is adopted.
        pub adopted: Option<AdoptedDocument>,
        /// The servers, by name.
        pub servers: BTreeMap<Name, ServerRecord>,
        /// The nodes that may hold a lease, each with the number of the entry that enrolled its process.
        pub nodes: BTreeMap<Name, ChangeNumber>,
        /// The number under which each document of the operator was recorded.
        pub documents: DocumentRegister,
        /// The servers that were removed from each group, oldest first.
        #[borsh(deserialize_with = "trailing_field::read_or_default")]
        pub departures: BTreeMap<Name, VecDeque<Departure>>,
        /// The number of the first heartbeat that arrived after its server's departure, for each departed server.
        #[borsh(deserialize_with = "trailing_field::read_or_default")]
        pub first_delayed: BTreeMap<Name, u64>
    }

    /// A document that the operator submitted and that came into force.
    #[derive(Eq, Default)]
    pub struct AdoptedDocument {
        /// The document's number.
        pub number: u64,
        /// The document's text, byte for byte as submitted.
        pub source: String
    }
}

/// An answer that follows from entries that are already in the log, so that no new entry is needed.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedAnswer {
    /// Number of the entry that must be committed before the answer is sent.
    pub entry: ChangeNumber,
    /// The answer.
    pub answer: Answer,
}

impl Command {
    /// Returns a hash of the command's content, which distinguishes a retry from a reused idempotency key.
    pub fn digest(&self) -> u64 {
        hash64(&[&borsh::to_vec(self).unwrap_or_default()])
    }

    /// Whether the command contains an entire configuration.
    pub fn is_document(&self) -> bool {
        matches!(self, Command::PushConfiguration { .. } | Command::AdoptDocument { .. })
    }
}

impl AnsweredWrite {
    /// Returns the answer to another write under the same key: the recorded answer if its command has the same digest,
    /// otherwise a rejection.
    pub fn answer_to(&self, digest: u64) -> Answer {
        if self.digest == digest {
            self.answer.clone()
        } else {
            Answer::Rejected(ErrorCode::PushConflict.without_detail())
        }
    }
}

impl Store {
    /// Returns the version of the configuration in force; 0 before the first.
    pub fn configuration_version(&self) -> Version {
        self.history.back().map_or(0, |entry| entry.version)
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&HistoryEntry> {
        self.history.back()
    }

    /// Returns the configuration with this version, if it is still retained.
    pub fn history_entry(&self, version: Version) -> Option<&HistoryEntry> {
        self.history.iter().find(|entry| entry.version == version)
    }

    /// Returns the write that was applied under this idempotency key, if it is still retained.
    pub fn answered_write(&self, key: &str) -> Option<&AnsweredWrite> {
        self.answers.iter().rev().find(|write| write.key == key)
    }

    /// Returns the newest fencing token of a singleton role; 0 if none was issued.
    pub fn fence(&self, duty: &str) -> FencingToken {
        self.fences.get(duty).map_or(0, |issued| issued.fence)
    }

    /// Returns the primary of a group, and the newest fencing token that was issued for changing it.
    pub fn primary_state(&self, group: &Name) -> PrimaryState {
        PrimaryState {
            fence: self.fence(&promotion_role_key(group)),
            primary: self.primaries.get(group).cloned(),
        }
    }

    /// Applies an entry and returns the answer to its write. Returns `None` and changes nothing if the entry does not
    /// directly follow the last one.
    pub fn apply(&mut self, entry: &Entry) -> Option<Answer> {
        if entry.number != self.last_change + 1 {
            return None;
        }
        self.last_change = entry.number;
        let digest = entry.command.digest();
        // A retry of a write that was already applied changes nothing.
        if let Some(answered) = self.answered_write(&entry.key) {
            return Some(answered.answer_to(digest));
        }
        let answer = self.execute(&entry.command);
        let (key, number) = (entry.key.clone(), entry.number);
        self.record_answer(AnsweredWrite { key, number, digest, answer: answer.clone() });
        Some(answer)
    }

    fn record_answer(&mut self, write: AnsweredWrite) {
        self.answers.push_back(write);
        if self.answers.len() > MAX_ANSWERED_WRITES {
            self.answers.pop_front();
        }
    }
}
