//! A client's connection to a node, the statements sent on it, and their outcomes.
use super::attempt::{AttemptEnd, guarantees_not_applied};
use super::connection::{ClientTransaction, PreparedStatement};
use super::sent_statement::SentStatement;
use super::session_task::{SessionCall, serve_session};
use super::setup::{DirectFleet, SimulatedNode};
use bytes::Bytes;
use quincehatch_core::Millis;
use quincehatch_proxy::direct::{SessionCommand, SessionRequest, StatementError, StatementResponse};
use quincehatch_proxy::ports::{RejectReason, TransactionState};
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A client abandons its session if a request is not answered within this time.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// A client abandons a connection that is not opened within this time.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// How many names (of settings and of prepared statements), statement templates and values clients choose from.
const NAMES: u64 = 3;
const TEMPLATES: u64 = 9;
const VALUES: u64 = 5;
/// Percentage of statements that write, on sessions at the primary and on other sessions.
const PRIMARY_WRITE_PERCENT: u64 = 60;
const OTHER_WRITE_PERCENT: u64 = 8;
/// Number of tables that statements refer to.
const TABLES: u64 = 7;

/// A statement that was sent, with its response.
pub struct StatementRun {
    /// The statement's id.
    pub id: u64,
    /// Whether the statement writes.
    pub write: bool,
    /// The response, if one arrived in time.
    pub response: Option<StatementResponse>,
}

impl StatementRun {
    /// Whether the response reports a transaction that has not ended.
    pub fn leaves_transaction(&self) -> bool {
        self.response.as_ref().is_some_and(|response| response.transaction_state != TransactionState::Idle)
    }
}

/// A client's connection to a node.
pub struct ClientConnection {
    /// The fleet that the client connects to.
    pub fleet: Arc<DirectFleet>,
    calls: mpsc::UnboundedSender<SessionCall>,
    /// Whether the session's statements are routed to the primary.
    pub at_primary: bool,
    settings: BTreeMap<Bytes, Bytes>,
    prepared: BTreeMap<Bytes, PreparedStatement>,
    /// Whether the client has abandoned the connection.
    pub closed: bool,
}

async fn network_delay() {
    seam::sleep(Duration::from_millis(fastrand::u64(1..5))).await;
}

/// Opens a connection to a node. Returns `None` if the node does not answer in time or no route matches the database.
pub async fn open_connection(
    fleet: &Arc<DirectFleet>,
    node: &SimulatedNode,
    at_primary: bool,
) -> Option<ClientConnection> {
    let is_up = || fleet.simulation.lock().processes[node.pid].is_up;
    let was_up = is_up();
    let running = node.running().filter(|_| was_up)?;
    let (calls, receiver) = mpsc::unbounded_channel();
    let (tx, opened) = oneshot::channel();
    network_delay().await;
    if !is_up() {
        return None;
    }
    let database = if at_primary { "o" } else { "l" };
    let session = serve_session(running.direct_proxy.clone(), database, receiver, tx);
    fleet.simulation.run_in(node.pid, || seam::spawn(session));
    let accepted = seam::timeout(OPEN_TIMEOUT, opened).await.ok()?.ok()?;
    accepted.then(|| ClientConnection {
        fleet: fleet.clone(),
        calls,
        at_primary,
        settings: BTreeMap::new(),
        prepared: BTreeMap::new(),
        closed: false,
    })
}

impl ClientConnection {
    /// Returns the id for a new statement.
    pub fn next_statement_id(&self) -> u64 {
        self.fleet.group.with(|state| state.ledger.next_statement_id())
    }

    /// Sends a command. If no response arrives in time, the session is abandoned.
    pub async fn request(&mut self, id: u64, command: SessionCommand) -> Option<StatementResponse> {
        network_delay().await;
        let (reply_to, reply) = oneshot::channel();
        let request = SessionRequest { id: Bytes::from(id.to_string()), command };
        let sent = self.calls.send(SessionCall { request, reply_to });
        let response = match sent {
            Ok(()) => seam::timeout(REPLY_TIMEOUT, reply).await.ok().and_then(Result::ok),
            Err(_) => None,
        };
        network_delay().await;
        self.closed |= response.is_none();
        response
    }

    /// Rolls the transaction back. The session is abandoned unless the response reports that it is idle.
    pub async fn rollback(&mut self, transaction: u64) {
        let response = self.request(transaction, SessionCommand::Rollback).await;
        let idle = response.is_some_and(|response| response.transaction_state == TransactionState::Idle);
        self.closed |= !idle;
    }

    /// Records a statement in the ledger before it is sent.
    pub fn record_sent(&self, id: u64, statement: SentStatement) {
        self.fleet.group.with(|state| state.ledger.sent.insert(id, statement));
    }

    /// Returns the true time of the simulation.
    pub fn now(&self) -> Millis {
        self.fleet.simulation.now()
    }

    /// Changes a setting or prepares a statement. If that fails, the session is abandoned.
    pub async fn change_session_state(&mut self) {
        let name = Bytes::from(format!("x{}", fastrand::u64(0..NAMES)));
        let id = self.next_statement_id();
        let sets = fastrand::bool();
        let write = self.at_primary && fastrand::bool();
        let template = Bytes::from(format!("q{}", fastrand::u64(0..TEMPLATES)));
        let value = Bytes::from(fastrand::u64(0..VALUES).to_string());
        let command = if sets {
            SessionCommand::Set { name: name.clone(), value: value.clone() }
        } else {
            SessionCommand::Prepare { name: name.clone(), write, template: template.clone() }
        };
        let response = self.request(id, command).await;
        if response.is_none_or(|response| response.result.is_err()) {
            self.closed = true;
        } else if sets {
            self.settings.insert(name, value);
        } else {
            self.prepared.insert(name, PreparedStatement { write, template });
        }
    }

    /// Draws one of the usable prepared statements in a third of the cases, and `None` otherwise.
    fn choose_prepared(&self, read_only: bool) -> Option<(Bytes, PreparedStatement)> {
        let usable = self.prepared.iter().filter(|(_, prepared)| !(read_only && prepared.write));
        let usable: Vec<(&Bytes, &PreparedStatement)> = usable.collect();
        let drawn = fastrand::usize(0..3 * usable.len().max(1));
        usable.get(drawn).map(|(name, prepared)| ((*name).clone(), (*prepared).clone()))
    }

    /// Sends one statement. `sent_at` is the start of the statement's transaction, if it belongs to one.
    pub async fn run_statement(
        &mut self,
        transaction: Option<ClientTransaction>,
        sent_at: Option<Millis>,
    ) -> StatementRun {
        let id = self.next_statement_id();
        let read_only = transaction.is_some_and(|transaction| transaction.read_only);
        let chosen = self.choose_prepared(read_only);
        let write_percent = if self.at_primary { PRIMARY_WRITE_PERCENT } else { OTHER_WRITE_PERCENT };
        let write = match &chosen {
            Some((_, prepared)) => prepared.write,
            None => !read_only && fastrand::u64(0..100) < write_percent,
        };
        let table = id % TABLES;
        let text = Bytes::from(match (&chosen, write) {
            (Some(_), _) => format!("a{table} d{id}"),
            (None, true) => format!("WRITE a{table} d{id}"),
            (None, false) => format!("READ a{table}"),
        });
        let statement = SentStatement {
            text: text.clone(),
            prepared: chosen.as_ref().map(|(_, prepared)| prepared.clone()),
            session_settings: self.settings.clone(),
            transaction,
            write,
            commit: false,
            at_primary: self.at_primary,
            sent_at: sent_at.unwrap_or(self.now()),
        };
        self.record_sent(id, statement);
        let command = match (chosen, write) {
            (Some((name, _)), _) => SessionCommand::Execute { name, arguments: text },
            (None, true) => SessionCommand::Write { text },
            (None, false) => SessionCommand::Read { text },
        };
        StatementRun { id, write, response: self.request(id, command).await }
    }

    /// Records the outcome of a read, write or commit in the ledger, and returns how the attempt ended. If `commits` is
    /// true, a success acknowledges `writes`.
    pub fn record_outcome(&mut self, run: &StatementRun, commits: bool, writes: &[u64]) -> AttemptEnd {
        let now = self.now();
        let Some(response) = &run.response else { return AttemptEnd::Failed };
        self.fleet.group.with(|state| match &response.result {
            Ok(stamp) => {
                state.ledger.check_success(now, run.id, stamp.as_ref(), &response.rows);
                if commits {
                    state.ledger.record_acknowledgement(now, run.id);
                }
                AttemptEnd::Succeeded
            }
            Err(error) if guarantees_not_applied(error) => {
                state.ledger.record_rejection(now, writes);
                AttemptEnd::Retry
            }
            Err(StatementError::Server(RejectReason::Failed, _)) if writes.is_empty() => AttemptEnd::Retry,
            Err(_) => AttemptEnd::Failed,
        })
    }
}
