//! One origin's session on its connection (§4.10): its values and prepared texts live here and are brought to whatever
//! link its next statement runs on.
use crate::held::link::Values;
use crate::held::run::{Body, Stmt};
use crate::held::txn::{self, Txn};
use crate::held::wish::{Ask, Gone, Told, Wish};
use crate::held::{Held, Way, single};
use crate::port::{No, Stage};
use bytes::Bytes;
use quincehatch_core::{ErrorCode, Error, Millis, Name};
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

pub struct HeldSession {
    held: Arc<Held>,
    db: Name,
    values: Values,
    prepared: HashMap<Bytes, Prepared>,
    txn: Option<Txn>,
}

impl Drop for HeldSession {
    fn drop(&mut self) {
        self.held.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl HeldSession {
    /// A session of a database that some rule takes. A node that has no lease says nothing of rules: what it knows may
    /// be old, or it knows none yet; whoever comes waits a moment for it, and is then told to come back.
    pub async fn open(held: &Arc<Held>, db: &str) -> Result<HeldSession, Error> {
        let until = now() + ENTRY;
        while !held.knows() {
            if now() >= until {
                return Err(ErrorCode::NotReady.with_detail("no lease yet").with_retry_after(250));
            }
            let changed = held.node.board.changed.notified();
            let _ = seam::timeout(Duration::from_millis(25), changed).await;
        }
        held.way(db).ok_or_else(|| ErrorCode::NoRoute.without_detail())?;
        held.open.fetch_add(1, Ordering::SeqCst);
        let (values, prepared) = (Values::new(), HashMap::new());
        Ok(HeldSession { held: held.clone(), db: db.into(), values, prepared, txn: None })
    }

    pub fn stage(&self) -> Stage {
        match &self.txn {
            None => Stage::Idle,
            Some(Txn::Broken) => Stage::Broken,
            Some(_) => Stage::Open,
        }
    }
    /// Does it hold a link?
    pub fn holds(&self) -> bool {
        matches!(self.txn, Some(Txn::Open(_)))
    }
    /// Its transaction rested too long, or the node stops: it is rolled back, and its next statement is told so.
    pub fn rest(&mut self) {
        if self.txn.is_some() {
            self.txn = Some(Txn::Broken);
        }
    }

    fn way(&self) -> Result<Way, Told> {
        self.held.way(&self.db).ok_or_else(|| Told::gone(ErrorCode::NoRoute.without_detail(), self.stage()))
    }

    pub async fn take(&mut self, a: Ask) -> Told {
        let stage = self.stage();
        match a.wish {
            Wish::Strange => Told::malformed(stage),
            Wish::Rollback => match self.txn.take() {
                None => Told::malformed(stage),
                Some(Txn::Open(r)) => {
                    r.rollback(self.held.clone());
                    Told::done(Stage::Idle)
                }
                Some(_) => Told::done(Stage::Idle),
            },
            Wish::Commit => self.commit(a.id).await,
            _ if stage == Stage::Broken => Told::malformed(stage),
            Wish::Begin { .. } if stage == Stage::Open => Told::malformed(stage),
            Wish::Begin { read } => match self.way() {
                Err(t) => t,
                Ok(way) => {
                    self.txn = Some(Txn::Lazy { read, way });
                    Told::done(Stage::Open)
                }
            },
            Wish::Set { name, value } => {
                if self.values.len() >= KEPT && !self.values.contains_key(&name) {
                    return Told::gone(ErrorCode::TooLarge.with_detail("too many settings"), stage);
                }
                self.values.insert(name, value);
                Told::done(stage)
            }
            Wish::Prepare { name, write, shape } => {
                if self.prepared.len() >= KEPT && !self.prepared.contains_key(&name) {
                    return Told::gone(ErrorCode::TooLarge.with_detail("too many prepared texts"), stage);
                }
                let own = self.held.name_of(write, &shape);
                self.prepared.insert(name, Prepared { write, shape, name: own });
                Told::done(stage)
            }
            Wish::Forget { name } => match self.prepared.remove(&name) {
                Some(_) => Told::done(stage),
                None => self.unprepared(stage, name),
            },
            Wish::Execute { name, rest } => match self.prepared.get(&name) {
                None => {
                    let stage = if stage == Stage::Open { self.broke() } else { stage };
                    self.unprepared(stage, name)
                }
                Some(p) => {
                    let body = Body::Named { name: p.name.clone(), shape: p.shape.clone(), rest };
                    let s = Stmt { id: a.id, write: p.write, body };
                    self.run(s).await
                }
            },
            Wish::Read { text } => self.run(Stmt { id: a.id, write: false, body: Body::Text(text) }).await,
            Wish::Write { text } => self.run(Stmt { id: a.id, write: true, body: Body::Text(text) }).await,
        }
    }

    fn unprepared(&self, stage: Stage, name: Bytes) -> Told {
        Told { rows: Vec::new(), ended: Err(Gone::Server(No::Unprepared, name)), stage, end: None }
    }
    fn broke(&mut self) -> Stage {
        self.txn = Some(Txn::Broken);
        Stage::Broken
    }

    async fn run(&mut self, s: Stmt) -> Told {
        // What is cancelled in the midst of a transaction leaves it broken, so that nothing more is run outside it.
        let running = match self.begin_step() {
            None => {
                let way = match self.way() {
                    Ok(w) => w,
                    Err(t) => return t,
                };
                return single::run(&self.held, &way, &self.values, &s).await;
            }
            Some(Txn::Open(r)) => r,
            Some(Txn::Lazy { read, way }) => match txn::open(&self.held, &way, read, &self.values).await {
                Ok(r) => Box::new(r),
                Err(b) => {
                    let stage = self.broke();
                    return Told::gone(b, stage);
                }
            },
            Some(Txn::Broken) => {
                let stage = self.broke();
                return Told::malformed(stage);
            }
        };
        let (told, txn) = running.run(&self.held, &self.values, &s).await;
        self.txn = Some(txn);
        told
    }

    async fn commit(&mut self, id: Bytes) -> Told {
        let told = match self.begin_step() {
            None => Told::malformed(Stage::Idle),
            Some(Txn::Broken) => Told::gone(txn::aborted("it had failed and is rolled back"), Stage::Idle),
            Some(Txn::Open(r)) => r.commit(&self.held, id).await,
            // Nothing was run in it; the commit goes to a server all the same, as its success is the server's.
            Some(Txn::Lazy { read, way }) => match txn::open(&self.held, &way, read, &self.values).await {
                Ok(r) => Box::new(r).commit(&self.held, id).await,
                Err(b) => Told::gone(b, Stage::Idle),
            },
        };
        self.txn = None;
        told
    }

    /// Takes the transaction for a step of it; until the step ends it counts as broken.
    fn begin_step(&mut self) -> Option<Txn> {
        let txn = self.txn.take();
        if txn.is_some() {
            self.txn = Some(Txn::Broken);
        }
        txn
    }
}
