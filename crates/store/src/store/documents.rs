//! Which document of the operator took which number. A number belongs to the first document that is sent under it, so a
//! document that is sent again is recognised, and one that reuses a number is rejected.
use crate::command::Answer;
use quincehatch_core::{ChangeNumber, ErrorCode, Version, hash64, messages};
use std::collections::BTreeMap;

/// Numbers whose document is remembered; of more, the lowest are forgotten first.
pub const MAX_REMEMBERED_DOCUMENTS: usize = 4_096;

messages! {
    /// A document that took a number.
    #[derive(Copy, Eq)]
    pub struct TakenNumber {
        /// Digest of its text.
        pub digest: u64,
        /// The log entry that recorded it.
        pub entry: ChangeNumber
    }

    /// The numbers that were taken. It is part of the replicated store, so log, snapshots and catch-up include it.
    #[derive(Eq, Default)]
    pub struct DocumentRegister {
        /// The document of each number.
        pub taken: BTreeMap<u64, TakenNumber>,
        /// The highest number that was forgotten: which document took that one or a lower one is unknown.
        pub forgotten: Option<u64>
    }
}

/// How an offered document relates to those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentOutcome {
    /// Its number is above all that were taken: it comes into force.
    Newest,
    /// Its number is free and below the highest: it takes the number and changes nothing else.
    Superseded,
    /// The same document took the number.
    Repeated {
        /// The entry that recorded it.
        entry: ChangeNumber,
    },
    /// Another document took the number.
    NumberTaken {
        /// The entry that recorded the other document.
        entry: ChangeNumber,
    },
    /// It is no longer known which document took the number, if one did.
    NumberForgotten,
}

/// The digest by which a document is recognised.
pub fn document_digest(source: &str) -> u64 {
    hash64(&[source.as_bytes()])
}

impl DocumentRegister {
    /// Decides on a document without changing anything.
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

    /// Records that the document took the number.
    pub fn record(&mut self, number: u64, document: TakenNumber) {
        self.taken.insert(number, document);
        while self.taken.len() > MAX_REMEMBERED_DOCUMENTS {
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
    /// Does the document take its number now? Any other outcome leaves the store as it is.
    pub fn takes_number(self) -> bool {
        matches!(self, DocumentOutcome::Newest | DocumentOutcome::Superseded)
    }

    /// The entry that must be committed before the answer is given; `None` if the answer rests on no single entry.
    pub fn entry(self) -> Option<ChangeNumber> {
        match self {
            DocumentOutcome::Repeated { entry } | DocumentOutcome::NumberTaken { entry } => Some(entry),
            _ => None,
        }
    }

    /// The answer to whoever offered the document; `version` is that of the configuration in force.
    pub fn answer(self, version: Version) -> Answer {
        match self {
            DocumentOutcome::NumberTaken { .. } => Answer::Rejected(ErrorCode::NumberTaken.without_detail()),
            // The same document may have taken the number, so the outcome is unknown.
            DocumentOutcome::NumberForgotten => {
                Answer::Rejected(ErrorCode::NumberForgotten.without_detail().with_unknown_outcome())
            }
            _ => Answer::Version(version),
        }
    }
}
