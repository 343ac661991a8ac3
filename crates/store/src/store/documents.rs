//! The numbers of the operator's documents. A number belongs to the first document that is submitted under it, so a
//! document that is submitted again is recognised, and a different document under the same number is rejected.
use crate::command::Answer;
use quincehatch_core::{ChangeNumber, ErrorCode, Version, hash64, messages};
use std::collections::BTreeMap;

/// Number of documents whose digests are retained. Beyond it, those with the lowest numbers are dropped.
pub const MAX_RECORDED_DOCUMENTS: usize = 4_096;

messages! {
    /// The document to which a number belongs.
    #[derive(Copy, Eq)]
    pub struct RecordedDocument {
        /// Digest of the document's text.
        pub digest: u64,
        /// Number of the log entry that recorded the document.
        pub entry: ChangeNumber
    }

    /// The numbers that are in use. The register is part of the replicated store, so that log, snapshots and catch-up
    /// include it.
    #[derive(Eq, Default)]
    pub struct DocumentRegister {
        /// The document to which each number belongs.
        pub taken: BTreeMap<u64, RecordedDocument>,
        /// The highest number that was dropped. For this and all lower numbers without an entry, it is unknown which
        /// document was recorded.
        pub forgotten: Option<u64>
    }
}

/// How a submitted document relates to those that are already recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentOutcome {
    /// Its number is above all recorded ones, so the document comes into force.
    Newest,
    /// Its number is unused and below the highest, so the document is recorded but does not come into force.
    Superseded,
    /// The same document is already recorded under the number.
    Repeated {
        /// Number of the entry that recorded the document.
        entry: ChangeNumber,
    },
    /// Another document is recorded under the number.
    NumberTaken {
        /// Number of the entry that recorded the other document.
        entry: ChangeNumber,
    },
    /// The number was dropped, so it is unknown whether a document was recorded under it, and which.
    NumberForgotten,
}

/// Returns the digest by which a document is recognised.
pub fn document_digest(source: &str) -> u64 {
    hash64(&[source.as_bytes()])
}

impl DocumentRegister {
    /// Returns how a document relates to the recorded ones, without recording it.
    pub fn classify(&self, number: u64, digest: u64) -> DocumentOutcome {
        match self.taken.get(&number) {
            Some(taken) if taken.digest == digest => DocumentOutcome::Repeated { entry: taken.entry },
            Some(taken) => DocumentOutcome::NumberTaken { entry: taken.entry },
            None if self.is_forgotten(number) => DocumentOutcome::NumberForgotten,
            None if self.highest_number().is_some_and(|highest| number < highest) => {
                DocumentOutcome::Superseded
            }
            None => DocumentOutcome::Newest,
        }
    }

    /// Records a document under a number, and drops the lowest numbers beyond the limit.
    pub fn record(&mut self, number: u64, document: RecordedDocument) {
        self.taken.insert(number, document);
        while self.taken.len() > MAX_RECORDED_DOCUMENTS {
            let Some((lowest, _)) = self.taken.pop_first() else { return };
            self.forgotten = self.forgotten.max(Some(lowest));
        }
    }

    fn is_forgotten(&self, number: u64) -> bool {
        self.forgotten.is_some_and(|highest| number <= highest)
    }

    fn highest_number(&self) -> Option<u64> {
        self.taken.last_key_value().map(|(number, _)| *number)
    }
}

impl DocumentOutcome {
    /// Whether the document is to be recorded under its number. With any other outcome the store does not change.
    pub fn should_record(self) -> bool {
        matches!(self, DocumentOutcome::Newest | DocumentOutcome::Superseded)
    }

    /// Returns the number of the entry that must be committed before the answer is sent; `None` if the answer does not
    /// depend on a single entry.
    pub fn entry(self) -> Option<ChangeNumber> {
        match self {
            DocumentOutcome::Repeated { entry } | DocumentOutcome::NumberTaken { entry } => Some(entry),
            _ => None,
        }
    }

    /// Returns the answer to the client that submitted the document. `version` is that of the configuration in force.
    pub fn answer(self, version: Version) -> Answer {
        match self {
            DocumentOutcome::NumberTaken { .. } => Answer::Rejected(ErrorCode::NumberTaken.without_detail()),
            // The same document may have been recorded under the number, so the outcome is unknown.
            DocumentOutcome::NumberForgotten => {
                Answer::Rejected(ErrorCode::NumberForgotten.without_detail().with_unknown_outcome())
            }
            _ => Answer::Version(version),
        }
    }
}
