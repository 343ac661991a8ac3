//! What an origin asks on a held session and what it is told (§4.10).
use crate::ports::{RejectReason, TransactionState};
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, Position};

#[derive(Clone, Debug, PartialEq)]
pub enum SessionCommand {
    Begin {
        read: bool,
    },
    Commit,
    Rollback,
    Read {
        text: Bytes,
    },
    Write {
        text: Bytes,
    },
    Set {
        name: Bytes,
        value: Bytes,
    },
    Prepare {
        name: Bytes,
        write: bool,
        template: Bytes,
    },
    Execute {
        name: Bytes,
        arguments: Bytes,
    },
    Deallocate {
        name: Bytes,
    },
    /// Nothing that this side knows.
    Unknown,
}

/// One wish under the id that the origin gave it.
#[derive(Clone, Debug, PartialEq)]
pub struct SessionRequest {
    pub id: Bytes,
    pub command: SessionCommand,
}

/// How a wish ended: with a server's stamp, or none where this node answers by itself.
pub type StatementResult = Result<Option<Bytes>, StatementError>;

/// Why it was not done.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementError {
    /// The server's own word, passed on.
    Server(RejectReason, Bytes),
    /// This node's: its end says whether something may have been kept.
    Proxy(Error),
}

#[derive(Clone, Debug, PartialEq)]
pub struct StatementResponse {
    pub rows: Vec<Bytes>,
    pub result: StatementResult,
    pub transaction_state: TransactionState,
    pub log_end: Option<Position>,
}

impl StatementResponse {
    pub fn done(stage: TransactionState) -> StatementResponse {
        StatementResponse { rows: Vec::new(), result: Ok(None), transaction_state: stage, log_end: None }
    }
    pub fn failed(b: Error, stage: TransactionState) -> StatementResponse {
        StatementResponse {
            rows: Vec::new(),
            result: Err(StatementError::Proxy(b)),
            transaction_state: stage,
            log_end: None,
        }
    }
    pub fn malformed(stage: TransactionState) -> StatementResponse {
        StatementResponse::failed(ErrorCode::Malformed.with_detail("not possible here"), stage)
    }
}
