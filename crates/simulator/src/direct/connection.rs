//! A server's end of a direct connection: session state and the open transaction.
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
    /// It writes.
    pub write: bool,
    /// Its text.
    pub template: Bytes,
}

/// A transaction as its client began it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientTransaction {
    /// Id of its BEGIN.
    pub id: u64,
    /// It only reads.
    pub read_only: bool,
}

/// A transaction that is open on a connection.
#[derive(Debug)]
pub struct OpenTransaction {
    /// It only reads.
    pub read_only: bool,
    /// The term it began under.
    pub term: u64,
    /// Id of the client's BEGIN, known once a statement of it ran.
    pub client_transaction: Option<u64>,
    /// Ids of its writes.
    pub writes: Vec<u64>,
    /// Entries that a read-only one sees.
    pub visible: usize,
    /// A statement of it failed: only a rollback is left.
    pub failed: bool,
}

/// A connection as its server has it.
pub struct Connection {
    /// The node at the other end.
    pub node: ProcessId,
    /// Index of the server.
    pub server: usize,
    /// Settings of the session.
    pub values: BTreeMap<Bytes, Bytes>,
    /// Prepared statements of the session.
    pub prepared: BTreeMap<Name, PreparedStatement>,
    /// The open transaction.
    pub transaction: Option<OpenTransaction>,
    /// Requests on their way or in execution.
    pub requests_in_flight: usize,
    /// The node's end is closed.
    pub closed: bool,
    /// Shared with the node's end.
    pub broken: Arc<AtomicBool>,
}

impl Connection {
    /// A new connection without session state.
    pub fn new(node: ProcessId, server: usize) -> Connection {
        Connection {
            node,
            server,
            values: BTreeMap::new(),
            prepared: BTreeMap::new(),
            transaction: None,
            requests_in_flight: 0,
            closed: false,
            broken: Arc::default(),
        }
    }

    /// The state of its transaction, as replies tell it.
    pub fn transaction_state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }
}

/// What a node learns of a connection that it opened.
pub struct OpenedConnection {
    /// Its id.
    pub id: u64,
    /// Set once the server's end is gone.
    pub broken: Arc<AtomicBool>,
    /// The end of what the server's reads see.
    pub log_end: Position,
}
