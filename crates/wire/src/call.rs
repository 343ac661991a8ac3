//! What a request type declares about itself: the type of its answer, and whether it may be sent again.
use borsh::{BorshDeserialize, BorshSerialize};

/// What a receiver recognizes a repeated request by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyKey {
    /// The idempotency key of a write, stored with its answer in the replicated store.
    Write,
    /// A ballot of the view register, synced to disk before it is answered.
    Ballot,
    /// The number of a view or of a change: a lower one changes nothing.
    Number,
    /// A fencing token, which never decreases.
    Fence,
    /// The version of a session replica: an older one changes nothing.
    SessionVersion,
    /// The incarnation of a gossip member and the number of a probe.
    Incarnation,
    /// A group and a server: the same report received twice counts once.
    Report,
}

/// Whether a request may be sent again when its frame may have arrived but no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Safe: the request changes nothing.
    ReadOnly,
    /// Safe: the receiver recognizes the repetition, and two arrivals have the effect of one.
    Idempotent(IdempotencyKey),
    /// Not safe: the call ends with [`crate::CallError::OutcomeUnknown`].
    Never,
}

impl RetrySafety {
    /// Whether the request may be sent again although it may have arrived.
    pub fn allows_retry(self) -> bool {
        match self {
            RetrySafety::ReadOnly | RetrySafety::Idempotent(_) => true,
            RetrySafety::Never => false,
        }
    }
}

/// A request between processes.
///
/// Implementations match every variant without a wildcard, so that a new variant does not compile until somebody has
/// decided whether it may be sent again.
pub trait Call: BorshSerialize + BorshDeserialize + Send + Sync + 'static {
    /// What the receiver answers.
    type Answer: BorshSerialize + BorshDeserialize + Send + Sync + 'static;
    /// Whether this request may be sent again.
    fn retry_safety(&self) -> RetrySafety;
    /// What the calls of this process are counted by: a short name of the variant.
    fn kind(&self) -> &'static str;
}
