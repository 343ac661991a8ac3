//! One statement on one connection.
use super::DirectProxy;
use super::connection::{Connection, ConnectionError, SessionSettings};
use super::monitored_call::CallContext;
use super::replies::reject_reason;
use super::route::ResolvedRoute;
use super::session_setup::PreparedStatement;
use crate::ports::{RejectReason, ServerCall, ServerReply};
use crate::tenants::OperationAdmission;
use bytes::Bytes;
use quincehatch_core::{Millis, Position};
use quincehatch_runtime::{now, seam};

/// A read or a write as the client gave it.
#[derive(Clone, Debug)]
pub(super) struct Statement {
    pub id: Bytes,
    pub write: bool,
    pub body: StatementBody,
}

/// The text of a statement.
#[derive(Clone, Debug)]
pub(super) enum StatementBody {
    Text(Bytes),
    /// A prepared statement, and what the client gave as its arguments.
    Prepared {
        prepared: PreparedStatement,
        arguments: Bytes,
    },
}

impl Statement {
    /// The call that runs it. A floor is for reads: the server rejects the call if its log has not reached it.
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

/// A statement outside a transaction, with all that its attempts need.
#[derive(Clone, Copy)]
pub(super) struct SingleStatement<'a> {
    pub direct: &'a DirectProxy,
    pub route: &'a ResolvedRoute,
    pub settings: &'a SessionSettings,
    pub statement: &'a Statement,
    /// Nothing is sent to a server before it is granted.
    pub admission: &'a OperationAdmission<'a>,
}

/// What is to run on a connection, and in which state of the session.
pub(super) struct Execution<'a> {
    pub statement: &'a Statement,
    pub settings: &'a SessionSettings,
    /// The position that the server's log must have reached.
    pub floor: Option<Position>,
    /// A transaction is open on the connection.
    pub in_transaction: bool,
    /// The answer must be there by then.
    pub finish_by: Millis,
}

impl<'a> Execution<'a> {
    /// A statement outside a transaction.
    pub fn single(run: SingleStatement<'a>, floor: Option<Position>, finish_by: Millis) -> Self {
        let SingleStatement { statement, settings, .. } = run;
        Execution { statement, settings, floor, in_transaction: false, finish_by }
    }

    fn time_left(&self) -> Millis {
        self.finish_by.saturating_sub(now())
    }
}

/// How far a statement came on a connection.
pub(super) enum StatementAttempt {
    /// The server answered.
    Replied(ServerReply),
    /// Nothing of the statement itself was sent.
    NotSent(ConnectionError),
    /// It was sent, and no answer came.
    Unanswered(ConnectionError),
}

impl Connection {
    /// Brings the connection into the session's state and runs the statement there.
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
                    self.prepared.clear();
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
            // No reset: it would end the transaction.
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
