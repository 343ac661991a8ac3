//! Statements as clients sent them, and successes as servers stamped them.
use super::connection::{ClientTransaction, PreparedStatement};
use bytes::Bytes;
use quincehatch_core::Millis;
use std::collections::BTreeMap;

/// One statement as its client sent it.
#[derive(Clone, Debug, Default)]
pub struct SentStatement {
    /// Its text, or the arguments of a prepared statement.
    pub text: Bytes,
    /// The prepared statement that its name stands for.
    pub prepared: Option<PreparedStatement>,
    /// The session's settings.
    pub values: BTreeMap<Bytes, Bytes>,
    /// The transaction it belongs to.
    pub transaction: Option<ClientTransaction>,
    /// It writes.
    pub write: bool,
    /// It is a COMMIT.
    pub commit: bool,
    /// It goes to the primary, where a read may miss nothing.
    pub at_primary: bool,
    /// When it, or its transaction, was sent.
    pub sent_at: Millis,
}

/// A success that a server stamped.
#[derive(Debug)]
pub struct StampedAnswer {
    /// Id of the statement.
    pub statement: u64,
    /// Rows of the answer.
    pub rows: Vec<Bytes>,
}
