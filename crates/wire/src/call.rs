//! What a call says of itself: the type of its answer, and whether it may be sent again.
use borsh::{BorshDeserialize, BorshSerialize};

/// What a receiver recognizes a repeated call by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyKey {
    /// The key of a write, kept with its answer in the replicated store (§5.2).
    Write,
    /// A ballot of the view register, synced before it is answered (§5.3).
    Ballot,
    /// The number of a view or of a change: an older one alters nothing.
    Number,
    /// A fence, which only rises.
    Fence,
    /// The version of a session's copy: an older one alters nothing.
    SessionVersion,
    /// The incarnation of a mesh member and the number of a probe.
    Incarnation,
    /// A group and a server: the same report twice is one report.
    Report,
}

/// May a call be sent again when its frame may have arrived and no answer came?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Yes: it alters nothing.
    ReadOnly,
    /// Yes: the receiver recognizes it, and two arrivals have the effect of one.
    Idempotent(IdempotencyKey),
    /// No: it ends with [`crate::CallError::OutcomeUnknown`].
    Never,
}

impl RetrySafety {
    /// May it be sent again after it may have arrived?
    pub fn allows_retry(self) -> bool {
        match self {
            RetrySafety::ReadOnly | RetrySafety::Idempotent(_) => true,
            RetrySafety::Never => false,
        }
    }
}

/// A request between processes. Implementations match all variants, so that a new one does not compile until it is
/// said whether it may be repeated.
pub trait Call: BorshSerialize + BorshDeserialize + Send + Sync + 'static {
    /// What the receiver answers.
    type Answer: BorshSerialize + BorshDeserialize + Send + Sync + 'static;
    /// Whether this request may be sent again.
    fn retry_safety(&self) -> RetrySafety;
}
