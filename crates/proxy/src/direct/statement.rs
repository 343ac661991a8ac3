//! Statements, and how one of them runs on one connection.
use super::DirectProxy;
use super::connection::{Connection, ConnectionError, SessionSettings};
use super::monitored_call::CallContext;
use super::replies::reject_reason;
use super::route::ResolvedRoute;
use super::session_memory::PreparedStatement;
use crate::ports::{RejectReason, ServerCall, ServerReply};
use crate::tenants::OperationAdmission;
use bytes::Bytes;
use quincehatch_core::{Millis, Position};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;

/// A read or write that the client sent.
#[derive(Clone, Debug)]
pub(super) struct Statement {
    pub id: Bytes,
    pub write: bool,
    pub body: StatementBody,
}

/// The content of a statement.
#[derive(Clone, Debug)]
pub(super) enum StatementBody {
    Text(Bytes),
    /// A prepared statement with the client's arguments.
    Prepared {
        prepared: Arc<PreparedStatement>,
        arguments: Bytes,
    },
}

impl Statement {
    /// Returns the call that runs the statement. `floor` applies only to reads: the server rejects the call if its log
    /// has not reached that position.
    fn to_call(&self, floor: Option<Position>) -> ServerCall {
        let id = self.id.clone();
        let floor = floor.filter(|_| !self.write && !seam::injected_bug("held-no-floor"));
        match &self.body {
            StatementBody::Text(text) => ServerCall::Run { id, text: text.clone(), floor },
            StatementBody::Prepared { prepared, arguments } => {
                ServerCall::Execute { id, name: prepared.name.clone(), arguments: arguments.clone(), floor }
            }
        }
    }
}

/// A statement outside a transaction, with the context that all its attempts share.
#[derive(Clone, Copy)]
pub(super) struct SingleStatement<'a> {
    pub direct: &'a DirectProxy,
    pub route: &'a ResolvedRoute,
    pub settings: &'a SessionSettings,
    pub statement: &'a Statement,
    /// The statement is not sent to a server before this is granted.
    pub admission: &'a OperationAdmission<'a>,
}

/// One execution of a statement on a connection.
pub(super) struct Execution<'a> {
    pub statement: &'a Statement,
    pub settings: &'a SessionSettings,
    /// The position that the server's log must have reached, if any.
    pub floor: Option<Position>,
    /// Whether a transaction is open on the connection.
    pub in_transaction: bool,
    /// The time by which the reply must have arrived.
    pub finish_by: Millis,
}

impl<'a> Execution<'a> {
    /// Creates the execution of a statement outside a transaction.
    pub fn single(run: SingleStatement<'a>, floor: Option<Position>, finish_by: Millis) -> Self {
        let SingleStatement { statement, settings, .. } = run;
        Execution { statement, settings, floor, in_transaction: false, finish_by }
    }

    fn time_left(&self) -> Millis {
        self.finish_by.saturating_sub(now())
    }
}

/// The result of an execution.
pub(super) enum StatementAttempt {
    /// The server replied.
    Replied(ServerReply),
    /// Setting up the connection failed; the statement itself was not sent.
    NotSent(ConnectionError),
    /// The statement was sent, and no reply arrived.
    Unanswered(ConnectionError),
}

impl Connection {
    /// Applies the session's settings and prepared statement to the connection, and runs the statement on it.
    pub(super) async fn execute(
        &mut self,
        context: &CallContext<'_>,
        execution: &Execution<'_>,
    ) -> StatementAttempt {
        if let Err(error) = self.set_up(context, execution).await {
            return StatementAttempt::NotSent(error);
        }
        let call = execution.statement.to_call(execution.floor);
        match self.call(context, &call, execution.time_left()).await {
            Ok(reply) => {
                if reject_reason(&reply) == Some(RejectReason::Unprepared) {
                    self.clear_prepared();
                }
                StatementAttempt::Replied(reply)
            }
            Err(error) => StatementAttempt::Unanswered(error),
        }
    }

    async fn set_up(
        &mut self,
        context: &CallContext<'_>,
        execution: &Execution<'_>,
    ) -> Result<(), ConnectionError> {
        if execution.in_transaction {
            // The connection is not reset here, as that would end the transaction.
            self.set_changed(context, execution.settings, execution.time_left()).await?;
        } else {
            self.apply_settings(context, execution.settings, execution.time_left()).await?;
        }
        if let StatementBody::Prepared { prepared, .. } = &execution.statement.body {
            self.prepare(context, prepared, execution.time_left()).await?;
        }
        Ok(())
    }
}
