//! What a node is made of, and the visits it takes (§4).
use crate::board::Board;
use crate::filters;
use crate::server::Reply;
use crate::session::{Context, Session, Sessions};
use crate::visit::{Answer, Body, Good, Ran, Visit, What, read_body};
use quincehatch_config::configuration::HealthSettings;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{ErrorCode, Outcome, Error, Name, Version};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::post_once;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub use seam::BoxFuture;

/// Where session contexts are kept besides this node (§6.4).
pub trait Copies: Send + Sync {
    /// Copies the context to a majority of its owners.
    fn store(&self, c: Context) -> BoxFuture<'_, Result<(), Error>>;
    /// The newest copy that can be had of those that know the version.
    fn find<'a>(&'a self, id: &'a str, knows: Version) -> BoxFuture<'a, Result<Option<Context>, Error>>;
}

/// One visit's path, kept for `quincehatchctl explain`.
#[derive(Clone, Debug)]
pub struct PathRow {
    pub id: u64,
    pub what: String,
    pub ms: u64,
    pub code: u16,
    pub ran: Ran,
    pub path: Vec<String>,
}

/// Visit paths kept.
const PATHS: usize = 4096;

/// A session idle this long is held by its owners only.
const IDLE: u64 = 60_000;

/// How visits ended so far.
#[derive(Debug, Default)]
pub struct Counts {
    pub kept: AtomicU64,
    pub nothing: AtomicU64,
    pub unknown: AtomicU64,
}

pub struct Node {
    pub set: NodeSettings,
    pub board: Board,
    pub sessions: Sessions,
    pub copies: Box<dyn Copies>,
    pub paths: Mutex<VecDeque<PathRow>>,
    pub counts: Counts,
    pub rt: seam::Spawner,
    pub in_hand: AtomicU64,
    pub carries: crate::carry::Budget,
    next: AtomicU64,
}

impl Node {
    pub fn new(set: NodeSettings, copies: Box<dyn Copies>, rt: seam::Spawner) -> Arc<Node> {
        Arc::new(Node {
            set,
            board: Board::default(),
            sessions: Sessions::default(),
            copies,
            paths: Mutex::default(),
            counts: Counts::default(),
            rt,
            in_hand: AtomicU64::new(0),
            carries: Default::default(),
            next: AtomicU64::new(fastrand::u64(1..1 << 40)),
        })
    }
    pub fn next_id(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }
    pub fn judges(&self) -> HealthSettings {
        let default = || quincehatch_config::configuration::default_health_settings().clone();
        self.board.plan().blueprint.as_ref().map_or_else(default, |b| b.health.clone())
    }

    /// A question over a link of its own, for STATUS-like calls and outcomes.
    pub async fn once(&self, addr: &str, path: &str, body: Value, within: Duration) -> Option<Reply> {
        post_once(addr, path, &body, within).await.ok().and_then(|(_, v)| Reply::read(v))
    }

    /// Whether the platform may send origins here, and why not (docs/origin.md).
    pub fn ready(&self) -> Result<Value, Error> {
        if self.board.is_stopping() {
            return Err(ErrorCode::Stopping.without_detail());
        }
        if self.board.draining.load(Ordering::SeqCst) {
            return Err(ErrorCode::NotReady.with_detail("it is drained; its sessions go on"));
        }
        if !self.board.has_lease() {
            return Err(ErrorCode::NoLease.without_detail());
        }
        let plan = self.board.plan();
        plan.blueprint.as_ref().ok_or_else(|| ErrorCode::NoConfiguration.without_detail())?;
        let mut reduced = Vec::new();
        for row in self.board.rows() {
            let g = row.group();
            let led = plan.leads.get(&g).and_then(|l| l.server.as_ref()).and_then(|s| self.board.row(s));
            let up = led.is_some_and(|r| r.status.lock().unwrap().failing.is_none());
            if !up && !reduced.contains(&g) {
                reduced.push(g);
            }
        }
        let groups: std::collections::BTreeSet<Name> = self.board.rows().iter().map(|r| r.group()).collect();
        // Without primaries lookups still go on, so the node is ready and says what it lacks.
        if groups.is_empty() {
            return Err(ErrorCode::NotReady.with_detail("no database server is known yet"));
        }
        Ok(json!({"ready": true, "reduced": reduced, "version": plan.version, "district": self.set.zone}))
    }

    /// Opens a session.
    pub async fn open(&self, v: &mut Visit) -> Answer {
        let most = v.plan.blueprint.as_ref().map_or(0, |b| b.queue.max_sessions as usize);
        if self.sessions.len() >= most {
            return Err(ErrorCode::TooManySessions.without_detail().with_retry_after(1_000));
        }
        let id: Name = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..)).into();
        let ctx = Context { id, ..Default::default() }.next(0, false);
        self.copies.store(ctx.clone()).await?;
        let held = self.sessions.put(ctx, now(), false);
        v.held = held.try_lock_owned().ok();
        Ok(Good::Promised)
    }

    /// The session, whole and at least of the version the origin knows, for this visit alone (§6.4).
    pub async fn hold(
        &self,
        id: &str,
        version: Version,
    ) -> Result<tokio::sync::OwnedMutexGuard<Session>, Error> {
        let held = match self.sessions.get(id) {
            Some(h) => h,
            None => {
                let found = self.copies.find(id, version).await?;
                let ctx = found.ok_or_else(|| ErrorCode::SessionUnknown.without_detail())?;
                if ctx.closed {
                    return Err(ErrorCode::SessionUnknown.with_detail("it was closed"));
                }
                self.sessions.put(ctx, now(), true)
            }
        };
        let mut g = held.try_lock_owned().map_err(|_| ErrorCode::SessionBusy.without_detail().with_retry_after(100))?;
        if !g.ctx.knows(version) {
            let found = self.copies.find(id, version).await?.filter(|c| c.knows(version));
            g.ctx = found.ok_or_else(|| ErrorCode::SessionLost.without_detail())?;
            g.moved = true;
        }
        if g.ctx.closed {
            return Err(ErrorCode::SessionUnknown.with_detail("it was closed"));
        }
        Ok(g)
    }

    /// Sessions that idle give their place here up; their copies stay with their owners.
    pub fn forget_idle(&self) {
        for s in self.sessions.all() {
            if let Ok(g) = s.try_lock()
                && g.txn.is_none()
                && now() > g.used + IDLE
            {
                self.sessions.drop_one(&g.ctx.id);
            }
        }
    }

    /// Takes one visit from the door to its answer.
    pub async fn visit(self: &Arc<Self>, path: &str, bytes: &[u8]) -> (u16, Value) {
        let Some(what) = What::of(path) else {
            let b = ErrorCode::NoSuchCall.without_detail();
            return (b.http_status(), crate::visit::breakdown_json(&b));
        };
        let body = read_body(bytes);
        let plan = self.board.plan();
        let ran = Ran { node: self.set.name.as_str().into(), version: plan.version, ..Default::default() };
        let mut v = Visit {
            id: self.next_id(),
            what,
            body: body.as_ref().map_or_else(|_| Body::default(), Clone::clone),
            began: now(),
            until: now(),
            rule: None,
            plan,
            held: None,
            group: Name::default(),
            ran,
            path: Vec::new(),
        };
        self.in_hand.fetch_add(1, Ordering::SeqCst);
        let a = match body {
            Ok(_) => filters::pass(self, &mut v).await,
            Err(b) => Err(b),
        };
        // Whoever asks after a try learns that nothing was kept only from its seal (§4.6).
        let a = a.map_err(|b| if what == What::Outcome && !b.has_code(ErrorCode::Sealed) { b.with_unknown_outcome() } else { b });
        self.in_hand.fetch_sub(1, Ordering::SeqCst);
        self.count(&v, &a);
        v.reply(&a)
    }

    fn count(&self, v: &Visit, a: &Answer) {
        let c = match a {
            Ok(_) => &self.counts.kept,
            Err(b) if b.outcome == Outcome::Unknown => &self.counts.unknown,
            Err(_) => &self.counts.nothing,
        };
        c.fetch_add(1, Ordering::Relaxed);
        let row = PathRow {
            id: v.id,
            what: format!("{:?}", v.what).to_lowercase(),
            ms: now() - v.began,
            code: a.as_ref().err().map_or(0, |b| b.code),
            ran: v.ran.clone(),
            path: v.path.clone(),
        };
        let mut p = self.paths.lock().unwrap();
        p.push_back(row);
        if p.len() > PATHS {
            p.pop_front();
        }
    }
}
