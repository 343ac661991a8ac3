//! A client's connection to a node, and what it sends and learns on it.
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

/// A client gives its session up when no answer comes for so long.
const REPLY_TIMEOUT: Duration = Duration::from_secs(3);
/// A client gives a connection up that is not opened within this time.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Names of settings and prepared statements, templates, and values that clients choose among.
const NAMES: u64 = 3;
const TEMPLATES: u64 = 9;
const VALUES: u64 = 5;
/// Share of statements that write, at the primary and elsewhere, in percent.
const PRIMARY_WRITE_PERCENT: u64 = 60;
const OTHER_WRITE_PERCENT: u64 = 8;
/// Tables that statements name.
const TABLES: u64 = 7;

/// A statement that was sent, and what came of it.
pub struct StatementRun {
    /// Its id.
    pub id: u64,
    /// It writes.
    pub write: bool,
    /// The answer; none if none came.
    pub response: Option<StatementResponse>,
}

impl StatementRun {
    /// True if the answer shows a transaction that is not over.
    pub fn leaves_transaction(&self) -> bool {
        self.response.as_ref().is_some_and(|response| response.transaction_state != TransactionState::Idle)
    }
}

/// A client's connection to a node.
pub struct ClientConnection {
    /// The fleet that it reaches.
    pub fleet: Arc<DirectFleet>,
    calls: mpsc::UnboundedSender<SessionCall>,
    /// Its statements go to the primary.
    pub at_primary: bool,
    settings: BTreeMap<Bytes, Bytes>,
    prepared: BTreeMap<Bytes, PreparedStatement>,
    /// Its client gave it up.
    pub closed: bool,
}

async fn network_delay() {
    seam::sleep(Duration::from_millis(fastrand::u64(1..5))).await;
}

/// A connection to a node; none where nobody answers in time, or no route takes the database.
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
    /// The id of a new statement.
    pub fn next_statement_id(&self) -> u64 {
        self.fleet.group.with(|state| state.ledger.next_statement_id())
    }

    /// Sends a command; without an answer the session is given up.
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

    /// Rolls the transaction back; the session is given up unless that leaves it idle.
    pub async fn rollback(&mut self, transaction: u64) {
        let response = self.request(transaction, SessionCommand::Rollback).await;
        let idle = response.is_some_and(|response| response.transaction_state == TransactionState::Idle);
        self.closed |= !idle;
    }

    /// Notes a statement before it is sent.
    pub fn record_sent(&self, id: u64, statement: SentStatement) {
        self.fleet.group.with(|state| state.ledger.sent.insert(id, statement));
    }

    /// True time.
    pub fn now(&self) -> Millis {
        self.fleet.simulation.now()
    }

    /// Changes a setting or prepares a statement; a failure gives the session up.
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

    /// One of the prepared statements, or none, as for a third of the draws.
    fn choose_prepared(&self, read_only: bool) -> Option<(Bytes, PreparedStatement)> {
        let usable = self.prepared.iter().filter(|(_, prepared)| !(read_only && prepared.write));
        let usable: Vec<(&Bytes, &PreparedStatement)> = usable.collect();
        let drawn = fastrand::usize(0..3 * usable.len().max(1));
        usable.get(drawn).map(|(name, prepared)| ((*name).clone(), (*prepared).clone()))
    }

    /// Sends one statement; `sent_at` is that of its transaction.
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
            values: self.settings.clone(),
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

    /// What the answer to a read, write or commit means; `commits`: a success acknowledges `writes`.
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
