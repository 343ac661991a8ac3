//! One origin's session on its connection (§4.10): its values and prepared texts live here and are brought to whatever
//! link its next statement runs on.
use crate::direct::command::{SessionCommand, SessionRequest, StatementError, StatementResponse};
use crate::direct::connection::Values;
use crate::direct::run::{Statement, StatementBody};
use crate::direct::transaction::{self, Transaction};
use crate::direct::{DirectProxy, ResolvedRoute, single};
use crate::ports::{RejectReason, TransactionState};
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_runtime::{now, seam};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Values and prepared texts one session may keep.
const KEPT: usize = 256;
/// How long a session waits for its node to hold a lease.
const ENTRY: Millis = 400;

struct Prepared {
    write: bool,
    shape: Bytes,
    name: Name,
}

pub struct DirectSession {
    held: Arc<DirectProxy>,
    db: Name,
    values: Values,
    prepared: HashMap<Bytes, Prepared>,
    txn: Option<Transaction>,
}

impl Drop for DirectSession {
    fn drop(&mut self) {
        self.held.open_sessions.fetch_sub(1, Ordering::SeqCst);
    }
}

impl DirectSession {
    /// A session of a database that some rule takes. A node that has no lease says nothing of rules: what it knows may
    /// be old, or it knows none yet; whoever comes waits a moment for it, and is then told to come back.
    pub async fn open(held: &Arc<DirectProxy>, db: &str) -> Result<DirectSession, Error> {
        let until = now() + ENTRY;
        while !held.knows_configuration() {
            if now() >= until {
                return Err(ErrorCode::NotReady.with_detail("no lease yet").with_retry_after(250));
            }
            let changed = held.proxy.registry.changed.notified();
            let _ = seam::timeout(Duration::from_millis(25), changed).await;
        }
        held.resolve_route(db).ok_or_else(|| ErrorCode::NoRoute.without_detail())?;
        held.open_sessions.fetch_add(1, Ordering::SeqCst);
        let (values, prepared) = (Values::new(), HashMap::new());
        Ok(DirectSession { held: held.clone(), db: db.into(), values, prepared, txn: None })
    }

    pub fn transaction_state(&self) -> TransactionState {
        match &self.txn {
            None => TransactionState::Idle,
            Some(Transaction::Broken) => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }
    /// Does it hold a link?
    pub fn holds_connection(&self) -> bool {
        matches!(self.txn, Some(Transaction::Open(_)))
    }
    /// Its transaction rested too long, or the node stops: it is rolled back, and its next statement is told so.
    pub fn abort_transaction(&mut self) {
        if self.txn.is_some() {
            self.txn = Some(Transaction::Broken);
        }
    }

    fn way(&self) -> Result<ResolvedRoute, StatementResponse> {
        self.held.resolve_route(&self.db).ok_or_else(|| {
            StatementResponse::failed(ErrorCode::NoRoute.without_detail(), self.transaction_state())
        })
    }

    pub async fn execute(&mut self, a: SessionRequest) -> StatementResponse {
        let stage = self.transaction_state();
        match a.command {
            SessionCommand::Unknown => StatementResponse::malformed(stage),
            SessionCommand::Rollback => match self.txn.take() {
                None => StatementResponse::malformed(stage),
                Some(Transaction::Open(r)) => {
                    r.rollback(self.held.clone());
                    StatementResponse::done(TransactionState::Idle)
                }
                Some(_) => StatementResponse::done(TransactionState::Idle),
            },
            SessionCommand::Commit => self.commit(a.id).await,
            _ if stage == TransactionState::Failed => StatementResponse::malformed(stage),
            SessionCommand::Begin { .. } if stage == TransactionState::Open => {
                StatementResponse::malformed(stage)
            }
            SessionCommand::Begin { read } => match self.way() {
                Err(t) => t,
                Ok(way) => {
                    self.txn = Some(Transaction::Lazy { read, way });
                    StatementResponse::done(TransactionState::Open)
                }
            },
            SessionCommand::Set { name, value } => {
                if self.values.len() >= KEPT && !self.values.contains_key(&name) {
                    return StatementResponse::failed(
                        ErrorCode::TooLarge.with_detail("too many settings"),
                        stage,
                    );
                }
                self.values.insert(name, value);
                StatementResponse::done(stage)
            }
            SessionCommand::Prepare { name, write, template: shape } => {
                if self.prepared.len() >= KEPT && !self.prepared.contains_key(&name) {
                    return StatementResponse::failed(
                        ErrorCode::TooLarge.with_detail("too many prepared texts"),
                        stage,
                    );
                }
                let own = self.held.prepared_name(write, &shape);
                self.prepared.insert(name, Prepared { write, shape, name: own });
                StatementResponse::done(stage)
            }
            SessionCommand::Deallocate { name } => match self.prepared.remove(&name) {
                Some(_) => StatementResponse::done(stage),
                None => self.unprepared(stage, name),
            },
            SessionCommand::Execute { name, arguments: rest } => match self.prepared.get(&name) {
                None => {
                    let stage = if stage == TransactionState::Open { self.broke() } else { stage };
                    self.unprepared(stage, name)
                }
                Some(p) => {
                    let body = StatementBody::Named { name: p.name.clone(), shape: p.shape.clone(), rest };
                    let s = Statement { id: a.id, write: p.write, body };
                    self.run(s).await
                }
            },
            SessionCommand::Read { text } => {
                self.run(Statement { id: a.id, write: false, body: StatementBody::Text(text) }).await
            }
            SessionCommand::Write { text } => {
                self.run(Statement { id: a.id, write: true, body: StatementBody::Text(text) }).await
            }
        }
    }

    fn unprepared(&self, stage: TransactionState, name: Bytes) -> StatementResponse {
        StatementResponse {
            rows: Vec::new(),
            result: Err(StatementError::Server(RejectReason::Unprepared, name)),
            transaction_state: stage,
            log_end: None,
        }
    }
    fn broke(&mut self) -> TransactionState {
        self.txn = Some(Transaction::Broken);
        TransactionState::Failed
    }

    async fn run(&mut self, s: Statement) -> StatementResponse {
        // What is cancelled in the midst of a transaction leaves it broken, so that nothing more is run outside it.
        let running = match self.begin_step() {
            None => {
                let way = match self.way() {
                    Ok(w) => w,
                    Err(t) => return t,
                };
                return single::run(&self.held, &way, &self.values, &s).await;
            }
            Some(Transaction::Open(r)) => r,
            Some(Transaction::Lazy { read, way }) => {
                match transaction::open(&self.held, &way, read, &self.values).await {
                    Ok(r) => Box::new(r),
                    Err(b) => {
                        let stage = self.broke();
                        return StatementResponse::failed(b, stage);
                    }
                }
            }
            Some(Transaction::Broken) => {
                let stage = self.broke();
                return StatementResponse::malformed(stage);
            }
        };
        let (told, txn) = running.run(&self.held, &self.values, &s).await;
        self.txn = Some(txn);
        told
    }

    async fn commit(&mut self, id: Bytes) -> StatementResponse {
        let told = match self.begin_step() {
            None => StatementResponse::malformed(TransactionState::Idle),
            Some(Transaction::Broken) => StatementResponse::failed(
                transaction::aborted("it had failed and is rolled back"),
                TransactionState::Idle,
            ),
            Some(Transaction::Open(r)) => r.commit(&self.held, id).await,
            // Nothing was run in it; the commit goes to a server all the same, as its success is the server's.
            Some(Transaction::Lazy { read, way }) => {
                match transaction::open(&self.held, &way, read, &self.values).await {
                    Ok(r) => Box::new(r).commit(&self.held, id).await,
                    Err(b) => StatementResponse::failed(b, TransactionState::Idle),
                }
            }
        };
        self.txn = None;
        told
    }

    /// Takes the transaction for a step of it; until the step ends it counts as broken.
    fn begin_step(&mut self) -> Option<Transaction> {
        let txn = self.txn.take();
        if txn.is_some() {
            self.txn = Some(Transaction::Broken);
        }
        txn
    }
}
