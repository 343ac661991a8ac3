//! One client's session: its settings and prepared statements live here and are brought to whatever connection its next
//! statement runs on.
use super::DirectProxy;
use super::command::{SessionCommand, SessionRequest};
use super::connection::SessionSettings;
use super::replies::transaction_lost;
use super::response::StatementResponse;
use super::route::ResolvedRoute;
use super::single_statement::run_single;
use super::statement::{SingleStatement, Statement, StatementBody};
use super::transaction::{BeginRequest, OpenTransaction, Transaction};
use crate::ports::TransactionState;
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_runtime::{now, seam};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Settings, and prepared statements, that one session may have.
const MAX_ENTRIES: usize = 256;
/// How long a new session waits for its proxy to hold a lease.
const LEASE_WAIT: Millis = 400;
/// How long it waits for a change of the cluster state before it looks again.
const LEASE_RECHECK_INTERVAL: Millis = 25;
/// When a client may try again after the proxy held no lease.
const RETRY_AFTER_NO_LEASE: Millis = 250;

/// A prepared statement of a session.
struct Prepared {
    write: bool,
    template: Bytes,
    /// The proxy's own name for it.
    name: Name,
}

/// One client's session.
pub struct DirectSession {
    direct: Arc<DirectProxy>,
    db: Name,
    settings: SessionSettings,
    prepared: HashMap<Bytes, Prepared>,
    transaction: Option<Transaction>,
}

impl Drop for DirectSession {
    fn drop(&mut self) {
        self.direct.open_sessions.fetch_sub(1, Ordering::SeqCst);
    }
}

impl DirectSession {
    /// Opens a session of a database that some route takes.
    ///
    /// # Errors
    /// `NotReady` while the proxy holds no lease: the routes it knows may be old, so it must not say that there is none.
    /// `NoRoute` where no route takes the database.
    pub async fn open(direct: &Arc<DirectProxy>, db: &str) -> Result<DirectSession, Error> {
        let until = now() + LEASE_WAIT;
        while !direct.knows_configuration() {
            if now() >= until {
                let error = ErrorCode::NotReady.with_detail("no lease yet");
                return Err(error.with_retry_after(RETRY_AFTER_NO_LEASE));
            }
            let changed = direct.proxy.registry.changed.notified();
            let _ = seam::timeout(Duration::from_millis(LEASE_RECHECK_INTERVAL), changed).await;
        }
        direct.resolve_route(db).ok_or_else(|| ErrorCode::NoRoute.without_detail())?;
        direct.open_sessions.fetch_add(1, Ordering::SeqCst);
        Ok(DirectSession {
            direct: direct.clone(),
            db: db.into(),
            settings: SessionSettings::new(),
            prepared: HashMap::new(),
            transaction: None,
        })
    }

    /// The state of its transaction.
    pub fn transaction_state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(Transaction::Failed) => TransactionState::Failed,
            Some(Transaction::Deferred(_) | Transaction::Open(_)) => TransactionState::Open,
        }
    }

    /// Whether it has a server connection checked out.
    pub fn holds_connection(&self) -> bool {
        matches!(self.transaction, Some(Transaction::Open(_)))
    }

    /// Rolls its transaction back, as it was idle for too long or the proxy stops; the next statement is told so.
    pub fn abort_transaction(&mut self) {
        if self.transaction.is_some() {
            self.transaction = Some(Transaction::Failed);
        }
    }

    /// Carries a command out.
    pub async fn execute(&mut self, request: SessionRequest) -> StatementResponse {
        let state = self.transaction_state();
        let id = request.id;
        match request.command {
            SessionCommand::Unknown => StatementResponse::malformed(state),
            SessionCommand::Rollback => self.roll_back(),
            SessionCommand::Commit => self.commit(id).await,
            // A failed transaction can only be ended.
            _ if state == TransactionState::Failed => StatementResponse::malformed(state),
            SessionCommand::Begin { read } => self.begin(read),
            SessionCommand::Set { name, value } => self.set(name, value),
            SessionCommand::Prepare { name, write, template } => self.prepare(name, write, template),
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
        let route = self.direct.resolve_route(&self.db);
        route.ok_or_else(|| {
            StatementResponse::failed(ErrorCode::NoRoute.without_detail(), self.transaction_state())
        })
    }

    fn begin(&mut self, read_only: bool) -> StatementResponse {
        let state = self.transaction_state();
        if state == TransactionState::Open {
            return StatementResponse::malformed(state);
        }
        match self.route() {
            Ok(route) => {
                self.transaction = Some(Transaction::Deferred(BeginRequest { route, read_only }));
                StatementResponse::done(TransactionState::Open)
            }
            Err(response) => response,
        }
    }

    fn roll_back(&mut self) -> StatementResponse {
        match self.transaction.take() {
            None => return StatementResponse::malformed(TransactionState::Idle),
            Some(Transaction::Open(open)) => open.roll_back(self.direct.clone()),
            Some(Transaction::Deferred(_) | Transaction::Failed) => {}
        }
        StatementResponse::done(TransactionState::Idle)
    }

    async fn commit(&mut self, id: Bytes) -> StatementResponse {
        let response = match self.take_for_step() {
            None => StatementResponse::malformed(TransactionState::Idle),
            Some(Transaction::Failed) => {
                let error = transaction_lost("it had failed and is rolled back");
                StatementResponse::failed(error, TransactionState::Idle)
            }
            Some(Transaction::Open(open)) => open.commit(&self.direct, id).await,
            // Nothing was run in it; the commit goes to a server all the same, as its success is the server's to report.
            Some(Transaction::Deferred(request)) => match request.begin(&self.direct, &self.settings).await {
                Ok(open) => open.commit(&self.direct, id).await,
                Err(error) => StatementResponse::failed(error, TransactionState::Idle),
            },
        };
        self.transaction = None;
        response
    }

    fn set(&mut self, name: Bytes, value: Bytes) -> StatementResponse {
        let state = self.transaction_state();
        if self.settings.len() >= MAX_ENTRIES && !self.settings.contains_key(&name) {
            return StatementResponse::failed(ErrorCode::TooLarge.with_detail("too many settings"), state);
        }
        self.settings.insert(name, value);
        StatementResponse::done(state)
    }

    fn prepare(&mut self, name: Bytes, write: bool, template: Bytes) -> StatementResponse {
        let state = self.transaction_state();
        if self.prepared.len() >= MAX_ENTRIES && !self.prepared.contains_key(&name) {
            let error = ErrorCode::TooLarge.with_detail("too many prepared statements");
            return StatementResponse::failed(error, state);
        }
        let own_name = self.direct.prepared_name(write, &template);
        self.prepared.insert(name, Prepared { write, template, name: own_name });
        StatementResponse::done(state)
    }

    fn deallocate(&mut self, name: Bytes) -> StatementResponse {
        let state = self.transaction_state();
        match self.prepared.remove(&name) {
            Some(_) => StatementResponse::done(state),
            None => StatementResponse::not_prepared(name, state),
        }
    }

    async fn run_prepared(&mut self, id: Bytes, name: Bytes, arguments: Bytes) -> StatementResponse {
        let Some(prepared) = self.prepared.get(&name) else {
            // An error of a statement fails the transaction it is in.
            self.abort_transaction();
            return StatementResponse::not_prepared(name, self.transaction_state());
        };
        let (name, template) = (prepared.name.clone(), prepared.template.clone());
        let body = StatementBody::Prepared { name, template, arguments };
        self.run(Statement { id, write: prepared.write, body }).await
    }

    async fn run(&mut self, statement: Statement) -> StatementResponse {
        match self.take_for_step() {
            None => self.run_outside_transaction(&statement).await,
            Some(Transaction::Open(open)) => self.run_in_transaction(open, &statement).await,
            Some(Transaction::Deferred(request)) => match request.begin(&self.direct, &self.settings).await {
                Ok(open) => self.run_in_transaction(Box::new(open), &statement).await,
                Err(error) => StatementResponse::failed(error, TransactionState::Failed),
            },
            Some(Transaction::Failed) => StatementResponse::malformed(TransactionState::Failed),
        }
    }

    async fn run_outside_transaction(&mut self, statement: &Statement) -> StatementResponse {
        let route = match self.route() {
            Ok(route) => route,
            Err(response) => return response,
        };
        let (direct, settings) = (&*self.direct, &self.settings);
        run_single(SingleStatement { direct, route: &route, settings, statement }).await
    }

    async fn run_in_transaction(
        &mut self,
        mut open: Box<OpenTransaction>,
        statement: &Statement,
    ) -> StatementResponse {
        let response = open.run(&self.direct, &self.settings, statement).await;
        if response.transaction_state == TransactionState::Open {
            self.transaction = Some(Transaction::Open(open));
        }
        response
    }

    /// Takes the transaction out for one step of it. Until the step has succeeded the session counts as failed, so that
    /// after a cancelled step nothing runs outside the transaction.
    fn take_for_step(&mut self) -> Option<Transaction> {
        let transaction = self.transaction.take();
        if transaction.is_some() {
            self.transaction = Some(Transaction::Failed);
        }
        transaction
    }
}
