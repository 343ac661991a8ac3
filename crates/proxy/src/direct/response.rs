//! Responses to a client's commands on a session.
use crate::ports::{RejectReason, ServerReply, TransactionState};
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, Position};

/// The result of a command: the server's stamp, or `None` if the proxy executed the command without a server.
pub type StatementResult = Result<Option<Bytes>, StatementError>;

/// Why a command failed.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementError {
    /// The server rejected the command for this reason, with this text.
    Server(RejectReason, Bytes),
    /// The proxy could not execute the command. The error's outcome says whether something may have been committed.
    Proxy(Error),
}

/// The response to a [`super::SessionRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct StatementResponse {
    /// The rows of the result; empty after an error.
    pub rows: Vec<Bytes>,
    /// The result of the command.
    pub result: StatementResult,
    /// The state of the session's transaction afterwards.
    pub transaction_state: TransactionState,
    /// The end of the server's log, if the server reported it.
    pub log_end: Option<Position>,
}

impl StatementResponse {
    /// Converts a server's reply into the response for the client.
    pub fn from_reply(reply: ServerReply, transaction_state: TransactionState) -> StatementResponse {
        let result = match (reply.rejection, reply.stamp) {
            (Some(rejection), _) => Err(StatementError::Server(rejection.reason, rejection.text)),
            (None, Some(stamp)) => Ok(Some(stamp)),
            // Only the server may report a success, and it does so with a stamp.
            (None, None) => {
                let error = ErrorCode::InvalidReply
                    .with_detail("the server's reply has no stamp")
                    .with_unknown_outcome();
                Err(StatementError::Proxy(error))
            }
        };
        let rows = if result.is_ok() { reply.rows } else { Vec::new() };
        StatementResponse { rows, result, transaction_state, log_end: reply.log_end }
    }

    /// Returns the success response of a command that the proxy executed without a server.
    pub fn done(transaction_state: TransactionState) -> StatementResponse {
        StatementResponse { rows: Vec::new(), result: Ok(None), transaction_state, log_end: None }
    }

    /// Returns the response for an error of the proxy.
    pub fn failed(error: Error, transaction_state: TransactionState) -> StatementResponse {
        let result = Err(StatementError::Proxy(error));
        StatementResponse { rows: Vec::new(), result, transaction_state, log_end: None }
    }

    /// Returns the response to a command that is unknown or not allowed in this transaction state.
    pub fn malformed(transaction_state: TransactionState) -> StatementResponse {
        let error = ErrorCode::Malformed
            .with_detail("the command is unknown or not allowed in this transaction state");
        StatementResponse::failed(error, transaction_state)
    }

    /// Returns the response to a command that names a prepared statement which does not exist.
    pub fn not_prepared(name: Bytes, transaction_state: TransactionState) -> StatementResponse {
        let result = Err(StatementError::Server(RejectReason::Unprepared, name));
        StatementResponse { rows: Vec::new(), result, transaction_state, log_end: None }
    }
}
