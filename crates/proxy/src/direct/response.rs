//! What a client is answered on a session.
use crate::ports::{RejectReason, ServerReply, TransactionState};
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, Position};

/// How a command ended: with the server's stamp, or `None` where the proxy answers without a server.
pub type StatementResult = Result<Option<Bytes>, StatementError>;

/// Why a command was not carried out.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementError {
    /// The server rejected it, with this text.
    Server(RejectReason, Bytes),
    /// The proxy could not carry it out; the error's outcome says whether something may have been committed.
    Proxy(Error),
}

/// The answer to a [`super::SessionRequest`].
#[derive(Clone, Debug, PartialEq)]
pub struct StatementResponse {
    /// The rows of the result; empty after an error.
    pub rows: Vec<Bytes>,
    /// How the command ended.
    pub result: StatementResult,
    /// The state of the session's transaction afterwards.
    pub transaction_state: TransactionState,
    /// The end of the server's log, where the server told it.
    pub log_end: Option<Position>,
}

impl StatementResponse {
    /// The response that passes a server's reply on.
    pub fn from_reply(reply: ServerReply, transaction_state: TransactionState) -> StatementResponse {
        let result = match (reply.rejection, reply.stamp) {
            (Some(rejection), _) => Err(StatementError::Server(rejection.reason, rejection.text)),
            (None, Some(stamp)) => Ok(Some(stamp)),
            // A success is the server's to report: without its stamp there is none.
            (None, None) => {
                let error = ErrorCode::InvalidReply.with_detail("no stamp").with_unknown_outcome();
                Err(StatementError::Proxy(error))
            }
        };
        let rows = if result.is_ok() { reply.rows } else { Vec::new() };
        StatementResponse { rows, result, transaction_state, log_end: reply.log_end }
    }

    /// Success of a command that the proxy carries out by itself.
    pub fn done(transaction_state: TransactionState) -> StatementResponse {
        StatementResponse { rows: Vec::new(), result: Ok(None), transaction_state, log_end: None }
    }

    /// An error of the proxy.
    pub fn failed(error: Error, transaction_state: TransactionState) -> StatementResponse {
        let result = Err(StatementError::Proxy(error));
        StatementResponse { rows: Vec::new(), result, transaction_state, log_end: None }
    }

    /// A command that is unknown, or not allowed in this state.
    pub fn malformed(transaction_state: TransactionState) -> StatementResponse {
        let error = ErrorCode::Malformed.with_detail("not possible here");
        StatementResponse::failed(error, transaction_state)
    }

    /// A prepared statement of this name does not exist.
    pub fn not_prepared(name: Bytes, transaction_state: TransactionState) -> StatementResponse {
        let result = Err(StatementError::Server(RejectReason::Unprepared, name));
        StatementResponse { rows: Vec::new(), result, transaction_state, log_end: None }
    }
}
