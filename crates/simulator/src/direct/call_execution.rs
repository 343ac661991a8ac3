//! Execution of one call on a direct connection by a simulated server.
use super::connection::{Connection, OpenTransaction, PreparedStatement};
use super::ledger::Execution;
use super::server_group::GroupState;
use bytes::Bytes;
use quincehatch_core::{Millis, Position, Role};
use quincehatch_proxy::ports::{RejectReason, Rejection, ServerCall, ServerReply};

/// Writes that a server has to commit.
pub struct Commit {
    /// Id of the single write or of the COMMIT.
    pub id: u64,
    /// Ids of the writes.
    pub writes: Vec<u64>,
}

/// The result of an executed call.
pub enum CallResult {
    /// The reply is sent immediately.
    Reply(ServerReply),
    /// The writes are committed, and the reply is sent once a replica has received the commit.
    Commit(Commit),
}

/// A statement in execution.
struct StatementCall {
    id: u64,
    text: Bytes,
    prepared: Option<PreparedStatement>,
}

/// The circumstances in which a call is executed.
#[derive(Clone, Copy)]
struct CallContext {
    now: Millis,
    /// Whether the statement fails with an error of the server.
    fails: bool,
    /// Number of log entries that the server's reads see.
    visible: usize,
    /// The position of the last of these entries.
    visible_end: Position,
}

impl CallContext {
    fn is_behind(&self, floor: Option<Position>) -> bool {
        floor.is_some_and(|floor| self.visible_end < floor)
    }
}

impl Connection {
    /// Rejects a call. An open transaction fails with it, unless the rejection means that the call was not executed.
    fn reject(&mut self, reason: RejectReason) -> CallResult {
        let was_executed = !matches!(reason, RejectReason::Busy | RejectReason::Unprepared);
        if let Some(transaction) = self.transaction.as_mut().filter(|_| was_executed) {
            transaction.failed = true;
        }
        self.reply(ServerReply { rejection: Some(Rejection::without_text(reason)), ..ServerReply::default() })
    }

    fn succeed(&self) -> CallResult {
        self.reply(ServerReply::default())
    }

    fn reply(&self, reply: ServerReply) -> CallResult {
        CallResult::Reply(ServerReply { transaction_state: self.transaction_state(), ..reply })
    }

    /// Returns the statement of a call, or `None` if the connection does not know its prepared statement.
    fn statement_call(&self, call: &ServerCall) -> Option<StatementCall> {
        match call {
            ServerCall::Run { id, text, .. } => {
                Some(StatementCall { id: statement_id(id), text: text.clone(), prepared: None })
            }
            ServerCall::Execute { id, name, arguments, .. } => {
                let prepared = self.prepared.get(name)?.clone();
                Some(StatementCall {
                    id: statement_id(id),
                    text: arguments.clone(),
                    prepared: Some(prepared),
                })
            }
            _ => None,
        }
    }
}

/// Parses the number that clients send as the id of a statement.
pub fn statement_id(id: &Bytes) -> u64 {
    std::str::from_utf8(id).ok().and_then(|text| text.parse().ok()).unwrap_or(0)
}

impl GroupState {
    /// Executes a call. If `fails` is true, a statement fails with an error of the server.
    pub fn execute_call(
        &mut self,
        now: Millis,
        connection: &mut Connection,
        call: &ServerCall,
        fails: bool,
    ) -> CallResult {
        let server = &mut self.servers[connection.server];
        let visible = server.visible_entries(now);
        let context = CallContext { now, fails, visible, visible_end: server.visible_end(now) };
        match call {
            ServerCall::Begin { read_only, floor } => {
                if context.is_behind(*floor) {
                    return connection.reject(RejectReason::Behind);
                }
                self.begin(connection, *read_only, context)
            }
            ServerCall::Run { floor, .. } | ServerCall::Execute { floor, .. } => {
                if context.is_behind(*floor) {
                    return connection.reject(RejectReason::Behind);
                }
                let Some(statement) = connection.statement_call(call) else {
                    return connection.reject(RejectReason::Unprepared);
                };
                self.execute_statement(connection, &statement, context)
            }
            ServerCall::Commit { id } => self.commit(now, connection, statement_id(id)),
            ServerCall::Rollback => {
                connection.transaction = None;
                connection.succeed()
            }
            ServerCall::Set { name, value } => {
                connection.session_settings.insert(name.clone(), value.clone());
                connection.succeed()
            }
            ServerCall::Prepare { name, write, template } => {
                let prepared = PreparedStatement { write: *write, template: template.clone() };
                connection.prepared.insert(name.clone(), prepared);
                connection.succeed()
            }
            ServerCall::Reset => {
                connection.session_settings.clear();
                connection.prepared.clear();
                connection.succeed()
            }
            ServerCall::Status
            | ServerCall::Suspend { .. }
            | ServerCall::Resume
            | ServerCall::Demote { .. } => {
                let connections = self.connections_of_server(connection.server).len() as u64;
                let status = self.apply_control_call(now, connection.server, call, connections);
                connection.reply(ServerReply { status: Some(status), ..ServerReply::default() })
            }
        }
    }

    fn begin(&mut self, connection: &mut Connection, read_only: bool, context: CallContext) -> CallResult {
        let server = &self.servers[connection.server];
        if !read_only && server.role != Role::Primary {
            return connection.reject(RejectReason::NotPrimary);
        }
        connection.transaction = Some(OpenTransaction {
            read_only,
            term: server.term,
            client_transaction: None,
            writes: Vec::new(),
            visible: context.visible,
            failed: false,
        });
        connection.succeed()
    }

    fn execute_statement(
        &mut self,
        connection: &mut Connection,
        statement: &StatementCall,
        context: CallContext,
    ) -> CallResult {
        let now = context.now;
        let id = statement.id;
        if self.has_lost_transaction(connection) {
            return connection.reject(RejectReason::NotPrimary);
        }
        let read_transaction = connection.transaction.as_ref().filter(|open| open.read_only);
        let visible = read_transaction.map_or(context.visible, |open| open.visible);
        let server = &self.servers[connection.server];
        self.ledger.check_execution(&Execution { now, id, connection, server, visible });
        let Some(sent) = self.ledger.sent.get(&id) else { return connection.reject(RejectReason::Other) };
        if sent.text != statement.text || sent.prepared != statement.prepared {
            let (ran, prepared) = (&statement.text, &statement.prepared);
            let violation = format!(
                "UNASKED at {now}: {id} ran as {ran:?} {prepared:?} instead of {:?} {:?}",
                sent.text, sent.prepared
            );
            self.ledger.record_violation(violation);
            return connection.reject(RejectReason::Other);
        }
        if context.fails {
            return connection.reject(RejectReason::Failed);
        }
        if let Some(open) = connection.transaction.as_mut() {
            open.client_transaction = sent.transaction.map(|transaction| transaction.id);
            open.writes.extend(sent.write.then_some(id));
        } else if sent.write {
            return match server.role {
                Role::Primary => CallResult::Commit(Commit { id, writes: vec![id] }),
                Role::Replica => connection.reject(RejectReason::NotPrimary),
            };
        }
        let rows = vec![Bytes::from(format!("row {id}"))];
        connection.reply(ServerReply { rows, ..ServerReply::default() })
    }

    /// Whether the connection's transaction can no longer commit: it has failed, or it writes and its server is no
    /// longer the primary of the term in which the transaction began.
    fn has_lost_transaction(&self, connection: &Connection) -> bool {
        let server = &self.servers[connection.server];
        connection.transaction.as_ref().is_some_and(|open| {
            let same_primary = server.role == Role::Primary && server.term == open.term;
            open.failed || (!open.read_only && !same_primary)
        })
    }

    fn commit(&mut self, now: Millis, connection: &mut Connection, id: u64) -> CallResult {
        let server = &self.servers[connection.server];
        let Some(open) = connection.transaction.take().filter(|open| !open.failed) else {
            return connection.reject(RejectReason::Other);
        };
        let belongs = self.ledger.sent.get(&id).is_some_and(|sent| {
            let own = sent.transaction.map(|transaction| transaction.id);
            sent.commit && (open.client_transaction.is_none() || own == open.client_transaction)
        });
        if !belongs {
            let (transaction, name) = (open.client_transaction, &server.name);
            let violation = format!("UNASKED at {now}: {id} commits {transaction:?} on {name}");
            self.ledger.record_violation(violation);
        }
        let same_primary = server.role == Role::Primary && server.term == open.term;
        if open.writes.is_empty() {
            connection.succeed()
        } else if same_primary {
            CallResult::Commit(Commit { id, writes: open.writes })
        } else {
            connection.reject(RejectReason::NotPrimary)
        }
    }
}
