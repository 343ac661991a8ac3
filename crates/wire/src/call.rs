//! The [`Call`] trait, by which a request type declares the type of its answer and whether it may be sent again.
use borsh::{BorshDeserialize, BorshSerialize};

/// The data by which a receiver recognizes a repeated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdempotencyKey {
    /// The idempotency key of a write, stored with its answer in the replicated store.
    Write,
    /// A ballot of the view register, synced to disk before the answer is sent.
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
/// Implementations match every variant without a wildcard, so that a new variant does not compile until its retry
/// safety is declared.
pub trait Call: BorshSerialize + BorshDeserialize + Send + Sync + 'static {
    /// The type of the receiver's answer.
    type Answer: BorshSerialize + BorshDeserialize + Send + Sync + 'static;
    /// Returns whether this request may be sent again.
    fn retry_safety(&self) -> RetrySafety;
    /// Returns a short name of the variant, under which the calls of this process are counted.
    fn kind(&self) -> &'static str;
}
