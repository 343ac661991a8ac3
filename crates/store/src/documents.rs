//! Which document of the operator took which number (§5.2).
use crate::messages::Answer;
use quincehatch_core::{ChangeNumber, ErrorCode, Version, hash64, messages};
use std::collections::BTreeMap;

/// Numbers whose document is remembered; of more, the lowest are forgotten first.
pub const MAX_REMEMBERED_DOCUMENTS: usize = 4_096;

messages! {
    /// A document that took a number: the digest of its bytes, and the log entry that recorded it.
    #[derive(Copy, Eq)]
    pub struct TakenNumber { pub digest: u64, pub entry: ChangeNumber }

    /// The numbers that were taken. It is part of the replicated store, so log, snapshot and catch-up carry it.
    #[derive(Eq, Default)]
    pub struct DocumentRegister {
        pub taken: BTreeMap<u64, TakenNumber>,
        /// The highest number that was forgotten: which document took that one or a lower one is unknown.
        pub forgotten: Option<u64>
    }
}

/// How an offered document stands to those taken before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentOutcome {
    /// Its number is above all that were taken: it comes into force.
    Newest,
    /// Its number is free, and below the newest: it takes the number and alters nothing.
    Superseded,
    /// The same document took the number, in that entry.
    Repeated { entry: ChangeNumber },
    /// Another document took the number, in that entry.
    NumberTaken { entry: ChangeNumber },
    /// Nobody knows any more which document took the number, if one did.
    NumberForgotten,
}

/// The digest under which a document is known again.
pub fn document_digest(source: &str) -> u64 {
    hash64(&[source.as_bytes()])
}

impl DocumentRegister {
    /// Decides on a document without altering anything.
    pub fn classify(&self, number: u64, digest: u64) -> DocumentOutcome {
        match self.taken.get(&number) {
            Some(held) if held.digest == digest => DocumentOutcome::Repeated { entry: held.entry },
            Some(held) => DocumentOutcome::NumberTaken { entry: held.entry },
            None if self.forgotten.is_some_and(|highest| number <= highest) => {
                DocumentOutcome::NumberForgotten
            }
            None if self.highest_number().is_some_and(|newest| number < newest) => {
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

    fn highest_number(&self) -> Option<u64> {
        self.taken.last_key_value().map(|(number, _)| *number)
    }
}

impl DocumentOutcome {
    /// Does the document take its number now? Any other outcome leaves the store as it is.
    pub fn takes_number(self) -> bool {
        matches!(self, DocumentOutcome::Newest | DocumentOutcome::Superseded)
    }

    /// The entry that must be committed before the answer is given; none if the answer rests on no single entry.
    pub fn entry(self) -> Option<ChangeNumber> {
        match self {
            DocumentOutcome::Repeated { entry } | DocumentOutcome::NumberTaken { entry } => Some(entry),
            _ => None,
        }
    }

    /// The answer to whoever offered the document; `version` is the one in force.
    pub fn answer(self, version: Version) -> Answer {
        match self {
            DocumentOutcome::NumberTaken { .. } => Answer::Rejected(ErrorCode::NumberTaken.without_detail()),
            DocumentOutcome::NumberForgotten => {
                Answer::Rejected(ErrorCode::NumberForgotten.without_detail().with_unknown_outcome())
            }
            _ => Answer::Version(version),
        }
    }
}
