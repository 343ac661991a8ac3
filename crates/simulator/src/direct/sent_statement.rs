//! Statements as clients sent them, and the successful answers that servers marked with a stamp.
use super::connection::{ClientTransaction, PreparedStatement};
use bytes::Bytes;
use quincehatch_core::Millis;
use std::collections::BTreeMap;

/// One statement as its client sent it.
#[derive(Clone, Debug, Default)]
pub struct SentStatement {
    /// The statement's text, or the arguments of a prepared statement.
    pub text: Bytes,
    /// The prepared statement to execute, if the client named one.
    pub prepared: Option<PreparedStatement>,
    /// The settings of the client's session.
    pub session_settings: BTreeMap<Bytes, Bytes>,
    /// The transaction that the statement belongs to.
    pub transaction: Option<ClientTransaction>,
    /// Whether the statement writes.
    pub write: bool,
    /// Whether the statement is a COMMIT.
    pub commit: bool,
    /// Whether the statement is routed to the primary, where a read must see every acknowledged commit.
    pub at_primary: bool,
    /// When the statement was sent, or its transaction was started.
    pub sent_at: Millis,
}

/// A successful answer that a server marked with a stamp.
#[derive(Debug)]
pub struct StampedAnswer {
    /// Id of the statement that was answered.
    pub statement: u64,
    /// Rows of the answer.
    pub rows: Vec<Bytes>,
}
