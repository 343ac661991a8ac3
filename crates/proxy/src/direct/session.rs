//! One client's session: its settings and prepared statements are applied to the connection of its next statement.
use super::DirectProxy;
use super::begin::BeginRequest;
use super::command::{SessionCommand, SessionRequest};
use super::proxy::RETRY_AFTER_NO_LEASE;
use super::replies::transaction_lost;
use super::response::StatementResponse;
use super::route::ResolvedRoute;
use super::session_setup::SessionSetup;
use super::session_transaction::{SessionTransaction, Transaction};
use super::single_statement::run_single;
use super::statement::{SingleStatement, Statement, StatementBody};
use super::transaction::OpenTransaction;
use crate::ports::TransactionState;
use crate::tenants::ClientKey;
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_runtime::{now, seam};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a new session waits for its proxy to hold a lease.
const LEASE_WAIT: Millis = 400;
/// How long a new session waits for a change of the cluster state before it checks for a lease again.
const LEASE_RECHECK_INTERVAL: Millis = 25;

/// One client's session.
pub struct DirectSession {
    direct: Arc<DirectProxy>,
    db: Name,
    /// The client's key. It is looked up for each statement, as it may be revoked.
    key: ClientKey,
    setup: SessionSetup,
    transaction: SessionTransaction,
}

impl Drop for DirectSession {
    fn drop(&mut self) {
        self.direct.open_sessions.fetch_sub(1, Ordering::SeqCst);
    }
}

impl DirectSession {
    /// Opens a session on database `db` for a client with `key`.
    ///
    /// # Errors
    /// `NotReady` while the proxy holds no lease: its routes and keys may be stale, so it must not report that there is
    /// no route. `NoRoute` if no route matches the database, `Unauthenticated` if its route needs another key.
    pub async fn open(direct: &Arc<DirectProxy>, db: &str, key: ClientKey) -> Result<DirectSession, Error> {
        let deadline = now() + LEASE_WAIT;
        while !direct.knows_configuration() {
            if now() >= deadline {
                let error = ErrorCode::NotReady.with_detail("this proxy holds no lease yet");
                return Err(error.with_retry_after(RETRY_AFTER_NO_LEASE));
            }
            let changed = direct.proxy.registry.changed.notified();
            let _ = seam::timeout(Duration::from_millis(LEASE_RECHECK_INTERVAL), changed).await;
        }
        direct.resolve_route(db, key)?;
        direct.open_sessions.fetch_add(1, Ordering::SeqCst);
        Ok(DirectSession {
            direct: direct.clone(),
            db: db.into(),
            key,
            setup: SessionSetup::default(),
            transaction: SessionTransaction::default(),
        })
    }

    /// Returns the state of the session's transaction.
    pub fn transaction_state(&self) -> TransactionState {
        self.transaction.state()
    }

    /// Whether the session has a server connection checked out.
    pub fn holds_connection(&self) -> bool {
        self.transaction.holds_connection()
    }

    /// Rolls back the transaction after an idle timeout or at shutdown. The next command but a rollback gets an error.
    pub fn abort_transaction(&mut self) {
        self.transaction.fail();
    }

    /// Executes a command and counts its outcome.
    pub async fn execute(&mut self, request: SessionRequest) -> StatementResponse {
        let response = self.dispatch(request).await;
        self.direct.statement_counts.record(&response);
        response
    }

    async fn dispatch(&mut self, request: SessionRequest) -> StatementResponse {
        let state = self.transaction_state();
        let id = request.id;
        match request.command {
            SessionCommand::Unknown => StatementResponse::malformed(state),
            SessionCommand::Rollback => self.roll_back(),
            SessionCommand::Commit => self.commit(id).await,
            // A failed transaction accepts only a commit or rollback.
            _ if state == TransactionState::Failed => StatementResponse::malformed(state),
            SessionCommand::Begin { read_only } => self.begin(read_only),
            SessionCommand::Set { name, value } => {
                let result = self.setup.set(&self.direct.settings_budget, &name, &value);
                self.respond(result)
            }
            SessionCommand::Prepare { name, write, template } => self.prepare(&name, write, &template),
            SessionCommand::Deallocate { name } => self.deallocate(name),
            SessionCommand::Execute { name, arguments } => self.run_prepared(id, name, arguments).await,
            SessionCommand::Read { text } => {
                self.run(Statement { id, write: false, body: StatementBody::Text(text) }).await
            }
            SessionCommand::Write { text } => {
                self.run(Statement { id, write: true, body: StatementBody::Text(text) }).await
            }
        }
    }

    fn route(&self) -> Result<ResolvedRoute, StatementResponse> {
        let route = self.direct.resolve_route(&self.db, self.key);
        route.map_err(|error| StatementResponse::failed(error, self.transaction_state()))
    }

    fn begin(&mut self, read_only: bool) -> StatementResponse {
        let state = self.transaction_state();
        if state == TransactionState::Open {
            return StatementResponse::malformed(state);
        }
        match self.route() {
            Ok(route) => {
                self.transaction.set(Transaction::Deferred(BeginRequest { route, read_only }));
                StatementResponse::done(TransactionState::Open)
            }
            Err(response) => response,
        }
    }

    fn roll_back(&mut self) -> StatementResponse {
        match self.transaction.end() {
            None => return StatementResponse::malformed(TransactionState::Idle),
            Some(Transaction::Open(open)) => open.roll_back(self.direct.clone()),
            Some(Transaction::Deferred(_) | Transaction::Failed) => {}
        }
        StatementResponse::done(TransactionState::Idle)
    }

    async fn commit(&mut self, id: Bytes) -> StatementResponse {
        let response = match self.transaction.take_for_command() {
            None => StatementResponse::malformed(TransactionState::Idle),
            Some(Transaction::Failed) => {
                let error = transaction_lost("the transaction had failed and is rolled back");
                StatementResponse::failed(error, TransactionState::Idle)
            }
            Some(Transaction::Open(open)) if self.direct.check_tenant(&open.route).is_err() => {
                StatementResponse::failed(transaction_lost("the key is revoked"), TransactionState::Idle)
            }
            Some(Transaction::Open(open)) => open.commit(&self.direct, id).await,
            // Without a statement, the commit is still sent to a server, because only a server may report its success.
            Some(Transaction::Deferred(request)) => {
                match request.begin(&self.direct, self.setup.settings()).await {
                    Ok(open) => open.commit(&self.direct, id).await,
                    Err(error) => StatementResponse::failed(error, TransactionState::Idle),
                }
            }
        };
        self.transaction.end();
        response
    }

    fn respond(&self, result: Result<(), Error>) -> StatementResponse {
        match result {
            Ok(()) => StatementResponse::done(self.transaction_state()),
            Err(error) => StatementResponse::failed(error, self.transaction_state()),
        }
    }

    fn prepare(&mut self, name: &[u8], write: bool, template: &Bytes) -> StatementResponse {
        let result = self.setup.prepare(&self.direct.prepared_texts, name, write, template);
        self.respond(result)
    }

    fn deallocate(&mut self, name: Bytes) -> StatementResponse {
        let state = self.transaction_state();
        if self.setup.deallocate(&name) {
            return StatementResponse::done(state);
        }
        StatementResponse::not_prepared(name, state)
    }

    async fn run_prepared(&mut self, id: Bytes, name: Bytes, arguments: Bytes) -> StatementResponse {
        let Some(prepared) = self.setup.prepared(&name).cloned() else {
            // A statement's error fails its transaction.
            self.abort_transaction();
            return StatementResponse::not_prepared(name, self.transaction_state());
        };
        let write = prepared.write;
        let body = StatementBody::Prepared { prepared, arguments };
        self.run(Statement { id, write, body }).await
    }

    async fn run(&mut self, statement: Statement) -> StatementResponse {
        match self.transaction.take_for_command() {
            None => self.run_outside_transaction(&statement).await,
            // On error the transaction is dropped, which rolls back what ran before the key was revoked.
            Some(Transaction::Open(open)) => match self.direct.check_tenant(&open.route) {
                Ok(()) => self.run_in_transaction(open, &statement).await,
                Err(error) => StatementResponse::failed(error, TransactionState::Failed),
            },
            Some(Transaction::Deferred(request)) => {
                match request.begin(&self.direct, self.setup.settings()).await {
                    Ok(open) => self.run_in_transaction(Box::new(open), &statement).await,
                    Err(error) => StatementResponse::failed(error, TransactionState::Failed),
                }
            }
            Some(Transaction::Failed) => StatementResponse::malformed(TransactionState::Failed),
        }
    }

    async fn run_outside_transaction(&mut self, statement: &Statement) -> StatementResponse {
        let route = match self.route() {
            Ok(route) => route,
            Err(response) => return response,
        };
        let (direct, settings) = (&*self.direct, self.setup.settings());
        let admission = match direct.admit_operation(&route) {
            Ok(admission) => admission,
            Err(error) => return StatementResponse::failed(error, TransactionState::Idle),
        };
        run_single(SingleStatement { direct, route: &route, settings, statement, admission: &admission })
            .await
    }

    async fn run_in_transaction(
        &mut self,
        mut open: Box<OpenTransaction>,
        statement: &Statement,
    ) -> StatementResponse {
        let response = open.run(&self.direct, self.setup.settings(), statement).await;
        if response.transaction_state == TransactionState::Open {
            self.transaction.set(Transaction::Open(open));
        }
        response
    }
}
