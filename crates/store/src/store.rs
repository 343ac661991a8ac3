//! The replicated state machine: what the entries of the log add up to. Keepers apply the same entries in the same order
//! to the same store, so nothing here depends on clocks, on chance or on the machine.

mod commands;
mod departures;
mod documents;
mod history;
mod primaries;
mod servers;

pub use departures::{Departure, MAX_DEPARTURES};
pub use documents::{
    DocumentOutcome, DocumentRegister, MAX_REMEMBERED_DOCUMENTS, TakenNumber, document_digest,
};
pub use history::HistoryEntry;
pub use primaries::promotion_duty_key;
pub(crate) use servers::upsert_server;

use crate::command::{Answer, Command, Entry, PrimaryState};
use quincehatch_core::{
    ChangeNumber, ErrorCode, FencingToken, Name, PrimaryAssignment, ServerRecord, Version, hash64, messages,
};
use std::collections::{BTreeMap, VecDeque};

/// Answers remembered so that a write sent twice is applied once.
pub const MAX_ANSWERED_WRITES: usize = 1024;

messages! {
    /// The answer to a write that was applied.
    #[derive(Eq)]
    pub struct AnsweredWrite {
        /// Idempotency key of the write.
        pub key: Name,
        /// The entry that applied it.
        pub number: ChangeNumber,
        /// Digest of its command.
        pub digest: u64,
        /// The answer.
        pub answer: Answer
    }

    /// The newest fencing token of a singleton role.
    #[derive(Eq)]
    pub struct IssuedFence {
        /// The token.
        pub fence: FencingToken,
        /// Who acquired it.
        pub holder: Name
    }

    /// The store. Its borsh layout is on disk: new fields come last.
    #[derive(Eq, Default)]
    pub struct Store {
        /// Last change that it reflects.
        pub last_change: ChangeNumber,
        /// The newest configurations, oldest first; the last one is in force.
        pub history: VecDeque<HistoryEntry>,
        /// The newest fencing token of each singleton role.
        pub fences: BTreeMap<Name, IssuedFence>,
        /// The primary of each group.
        pub primaries: BTreeMap<Name, PrimaryAssignment>,
        /// Writes that were answered, oldest first.
        pub answers: VecDeque<AnsweredWrite>,
        /// The operator's document in force, where one was adopted.
        pub adopted: Option<AdoptedDocument>,
        /// The servers, by name.
        pub servers: BTreeMap<Name, ServerRecord>,
        /// Nodes that may hold a lease, and the entry that enrolled the process of each.
        pub nodes: BTreeMap<Name, ChangeNumber>,
        /// Which document of the operator took which number.
        pub documents: DocumentRegister,
        /// Servers of each group that are recorded no more, oldest first.
        #[borsh(deserialize_with = "departures::read_departures")]
        pub departures: BTreeMap<Name, VecDeque<Departure>>
    }

    /// A document of the operator.
    #[derive(Eq, Default)]
    pub struct AdoptedDocument {
        /// Its number.
        pub number: u64,
        /// Its text, byte for byte.
        pub source: String
    }
}

/// An answer that rests on what the store holds already.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedAnswer {
    /// The entry that must be committed before the answer may be given.
    pub entry: ChangeNumber,
    /// The answer.
    pub answer: Answer,
}

impl Command {
    /// A digest that differs for commands of different content.
    pub fn digest(&self) -> u64 {
        hash64(&[&borsh::to_vec(self).unwrap_or_default()])
    }

    /// Does the command contain an entire configuration?
    pub fn is_document(&self) -> bool {
        matches!(self, Command::PushConfiguration { .. } | Command::AdoptDocument { .. })
    }
}

impl AnsweredWrite {
    /// The answer to a write under the same key: the same one if it is a retry, a rejection if its content differs.
    pub fn answer_to(&self, digest: u64) -> Answer {
        if self.digest == digest {
            self.answer.clone()
        } else {
            Answer::Rejected(ErrorCode::PushConflict.without_detail())
        }
    }
}

impl Store {
    /// Version of the configuration in force; 0 before the first.
    pub fn configuration_version(&self) -> Version {
        self.history.back().map_or(0, |entry| entry.version)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&HistoryEntry> {
        self.history.back()
    }

    /// The configuration of that version, if it is still retained.
    pub fn history_entry(&self, version: Version) -> Option<&HistoryEntry> {
        self.history.iter().find(|entry| entry.version == version)
    }

    /// The write that was answered under that key, if it is still remembered.
    pub fn answered_write(&self, key: &str) -> Option<&AnsweredWrite> {
        self.answers.iter().rev().find(|write| write.key == key)
    }

    /// The newest fencing token of a singleton role; 0 if none was issued.
    pub fn fence(&self, duty: &str) -> FencingToken {
        self.fences.get(duty).map_or(0, |issued| issued.fence)
    }

    /// The primary of a group, and the token under which its next change has begun.
    pub fn primary_state(&self, group: &Name) -> PrimaryState {
        PrimaryState {
            fence: self.fence(&promotion_duty_key(group)),
            primary: self.primaries.get(group).cloned(),
        }
    }

    /// Applies the entry that follows the last one; `None`, and nothing is changed, if it is not the next one.
    pub fn apply(&mut self, entry: &Entry) -> Option<Answer> {
        if entry.number != self.last_change + 1 {
            return None;
        }
        self.last_change = entry.number;
        let digest = entry.command.digest();
        // A retry of a write that was answered changes nothing.
        if let Some(answered) = self.answered_write(&entry.key) {
            return Some(answered.answer_to(digest));
        }
        let answer = self.execute(&entry.command);
        let (key, number) = (entry.key.clone(), entry.number);
        self.remember(AnsweredWrite { key, number, digest, answer: answer.clone() });
        Some(answer)
    }

    fn remember(&mut self, write: AnsweredWrite) {
        self.answers.push_back(write);
        if self.answers.len() > MAX_ANSWERED_WRITES {
            self.answers.pop_front();
        }
    }
}
