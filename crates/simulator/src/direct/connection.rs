//! The server's end of a direct connection: its session state and open transaction.
use crate::fleet::simulation::ProcessId;
use bytes::Bytes;
use quincehatch_core::{Name, Position};
use quincehatch_proxy::ports::TransactionState;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// A prepared statement.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PreparedStatement {
    /// Whether the statement writes.
    pub write: bool,
    /// The statement's text.
    pub template: Bytes,
}

/// A transaction as its client began it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientTransaction {
    /// Id of the transaction's BEGIN.
    pub id: u64,
    /// Whether the transaction is read-only.
    pub read_only: bool,
}

/// A transaction that is open on a connection.
#[derive(Debug)]
pub struct OpenTransaction {
    /// Whether the transaction is read-only.
    pub read_only: bool,
    /// The server's term when the transaction began.
    pub term: u64,
    /// Id of the client's BEGIN, which the server learns from the transaction's first statement.
    pub client_transaction: Option<u64>,
    /// Ids of the transaction's writes.
    pub writes: Vec<u64>,
    /// Number of log entries that a read-only transaction sees.
    pub visible: usize,
    /// Whether a statement of the transaction failed, so that it can only be rolled back.
    pub failed: bool,
}

/// A connection as its server sees it.
pub struct Connection {
    /// The node at the other end.
    pub node: ProcessId,
    /// Index of the server.
    pub server: usize,
    /// Settings of the session.
    pub session_settings: BTreeMap<Bytes, Bytes>,
    /// Prepared statements of the session.
    pub prepared: BTreeMap<Name, PreparedStatement>,
    /// The open transaction.
    pub transaction: Option<OpenTransaction>,
    /// Number of requests that are on the network or in execution.
    pub requests_in_flight: usize,
    /// Whether the node has closed its end.
    pub closed: bool,
    /// Set once the server's end is gone; the node's end shares this flag.
    pub broken: Arc<AtomicBool>,
}

impl Connection {
    /// Creates a connection without session state.
    pub fn new(node: ProcessId, server: usize) -> Connection {
        Connection {
            node,
            server,
            session_settings: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            requests_in_flight: 0,
            closed: false,
            broken: Arc::default(),
        }
    }

    /// Returns the transaction state that replies report.
    pub fn transaction_state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }
}

/// The result of opening a connection, as the server reports it to the node.
pub struct OpenedConnection {
    /// The connection's id.
    pub id: u64,
    /// Set once the server's end is gone.
    pub broken: Arc<AtomicBool>,
    /// The log position up to which the server's reads see commits.
    pub log_end: Position,
}
