//! What a node is made of, and the visits it takes (§4).
use crate::pipeline;
use crate::registry::Registry;
use crate::request::{Body, ClientRequest, ExecutionSite, Operation, RequestResult, Success, parse_body};
use crate::server_protocol::Reply;
use crate::session::{Session, SessionState, Sessions};
use quincehatch_config::configuration::HealthSettings;
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Error, ErrorCode, Name, Outcome, Version};
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
pub trait SessionReplicas: Send + Sync {
    /// Copies the context to a majority of its owners.
    fn store(&self, c: SessionState) -> BoxFuture<'_, Result<(), Error>>;
    /// The newest copy that can be had of those that know the version.
    fn find<'a>(&'a self, id: &'a str, knows: Version) -> BoxFuture<'a, Result<Option<SessionState>, Error>>;
}

/// One visit's path, kept for `quincehatchctl explain`.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    pub id: u64,
    pub operation: String,
    pub duration_ms: u64,
    pub code: u16,
    pub site: ExecutionSite,
    pub steps: Vec<String>,
}

/// Visit paths kept.
const PATHS: usize = 4096;

/// A session idle this long is held by its owners only.
const IDLE: u64 = 60_000;

/// How visits ended so far.
#[derive(Debug, Default)]
pub struct OutcomeCounts {
    pub committed: AtomicU64,
    pub not_applied: AtomicU64,
    pub unknown: AtomicU64,
}

pub struct Proxy {
    pub settings: NodeSettings,
    pub registry: Registry,
    pub sessions: Sessions,
    pub copies: Box<dyn SessionReplicas>,
    pub traces: Mutex<VecDeque<RequestTrace>>,
    pub outcome_counts: OutcomeCounts,
    pub rt: seam::Spawner,
    pub requests_in_flight: AtomicU64,
    pub retry_budget: crate::attempt::RetryBudget,
    next: AtomicU64,
}

impl Proxy {
    pub fn new(set: NodeSettings, copies: Box<dyn SessionReplicas>, rt: seam::Spawner) -> Arc<Proxy> {
        Arc::new(Proxy {
            settings: set,
            registry: Registry::default(),
            sessions: Sessions::default(),
            copies,
            traces: Mutex::default(),
            outcome_counts: OutcomeCounts::default(),
            rt,
            requests_in_flight: AtomicU64::new(0),
            retry_budget: Default::default(),
            next: AtomicU64::new(fastrand::u64(1..1 << 40)),
        })
    }
    pub fn next_request_id(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }
    pub fn health_settings(&self) -> HealthSettings {
        let default = || quincehatch_config::configuration::default_health_settings().clone();
        self.registry.cluster_state().configuration.as_ref().map_or_else(default, |b| b.health.clone())
    }

    /// A question over a link of its own, for STATUS-like calls and outcomes.
    pub async fn call_once(&self, addr: &str, path: &str, body: Value, within: Duration) -> Option<Reply> {
        post_once(addr, path, &body, within).await.ok().and_then(|(_, v)| Reply::read(v))
    }

    /// Whether the platform may send origins here, and why not (docs/origin.md).
    pub fn readiness(&self) -> Result<Value, Error> {
        if self.registry.is_stopping() {
            return Err(ErrorCode::Stopping.without_detail());
        }
        if self.registry.draining.load(Ordering::SeqCst) {
            return Err(ErrorCode::NotReady.with_detail("it is drained; its sessions go on"));
        }
        if !self.registry.has_lease() {
            return Err(ErrorCode::NoLease.without_detail());
        }
        let plan = self.registry.cluster_state();
        plan.configuration.as_ref().ok_or_else(|| ErrorCode::NoConfiguration.without_detail())?;
        let mut reduced = Vec::new();
        for row in self.registry.servers() {
            let g = row.group();
            let led =
                plan.primaries.get(&g).and_then(|l| l.server.as_ref()).and_then(|s| self.registry.server(s));
            let up = led.is_some_and(|r| r.status.lock().unwrap().failing_since.is_none());
            if !up && !reduced.contains(&g) {
                reduced.push(g);
            }
        }
        let groups: std::collections::BTreeSet<Name> =
            self.registry.servers().iter().map(|r| r.group()).collect();
        // Without primaries lookups still go on, so the node is ready and says what it lacks.
        if groups.is_empty() {
            return Err(ErrorCode::NotReady.with_detail("no database server is known yet"));
        }
        Ok(
            json!({"ready": true, "reduced": reduced, "version": plan.version, "district": self.settings.zone}),
        )
    }

    /// Opens a session.
    pub async fn open_session(&self, v: &mut ClientRequest) -> RequestResult {
        let most = v.plan.configuration.as_ref().map_or(0, |b| b.queue.max_sessions as usize);
        if self.sessions.len() >= most {
            return Err(ErrorCode::TooManySessions.without_detail().with_retry_after(1_000));
        }
        let id: Name = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..)).into();
        let ctx = SessionState { id, ..Default::default() }.next_version(0, false);
        self.copies.store(ctx.clone()).await?;
        let held = self.sessions.insert(ctx, now(), false);
        v.held = held.try_lock_owned().ok();
        Ok(Success::Accepted)
    }

    /// The session, whole and at least of the version the origin knows, for this visit alone (§6.4).
    pub async fn lock_session(
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
                self.sessions.insert(ctx, now(), true)
            }
        };
        let mut g = held
            .try_lock_owned()
            .map_err(|_| ErrorCode::SessionBusy.without_detail().with_retry_after(100))?;
        if !g.state.includes(version) {
            let found = self.copies.find(id, version).await?.filter(|c| c.includes(version));
            g.state = found.ok_or_else(|| ErrorCode::SessionLost.without_detail())?;
            g.adopted = true;
        }
        if g.state.closed {
            return Err(ErrorCode::SessionUnknown.with_detail("it was closed"));
        }
        Ok(g)
    }

    /// Sessions that idle give their place here up; their copies stay with their owners.
    pub fn evict_idle_sessions(&self) {
        for s in self.sessions.all() {
            if let Ok(g) = s.try_lock()
                && g.transaction.is_none()
                && now() > g.last_used + IDLE
            {
                self.sessions.remove(&g.state.id);
            }
        }
    }

    /// Takes one visit from the door to its answer.
    pub async fn visit(self: &Arc<Self>, path: &str, bytes: &[u8]) -> (u16, Value) {
        let Some(what) = Operation::of(path) else {
            let b = ErrorCode::NoSuchCall.without_detail();
            return (b.http_status(), crate::request::error_json(&b));
        };
        let body = parse_body(bytes);
        let plan = self.registry.cluster_state();
        let ran = ExecutionSite {
            node: self.settings.name.as_str().into(),
            version: plan.version,
            ..Default::default()
        };
        let mut v = ClientRequest {
            id: self.next_request_id(),
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
        self.requests_in_flight.fetch_add(1, Ordering::SeqCst);
        let a = match body {
            Ok(_) => pipeline::pass(self, &mut v).await,
            Err(b) => Err(b),
        };
        // Whoever asks after a try learns that nothing was kept only from its seal (§4.6).
        let a = a.map_err(|b| {
            if what == Operation::Outcome && !b.has_code(ErrorCode::Sealed) {
                b.with_unknown_outcome()
            } else {
                b
            }
        });
        self.requests_in_flight.fetch_sub(1, Ordering::SeqCst);
        self.count(&v, &a);
        v.reply(&a)
    }

    fn count(&self, v: &ClientRequest, a: &RequestResult) {
        let c = match a {
            Ok(_) => &self.outcome_counts.committed,
            Err(b) if b.outcome == Outcome::Unknown => &self.outcome_counts.unknown,
            Err(_) => &self.outcome_counts.not_applied,
        };
        c.fetch_add(1, Ordering::Relaxed);
        let row = RequestTrace {
            id: v.id,
            operation: format!("{:?}", v.what).to_lowercase(),
            duration_ms: now() - v.began,
            code: a.as_ref().err().map_or(0, |b| b.code),
            site: v.ran.clone(),
            steps: v.path.clone(),
        };
        let mut p = self.traces.lock().unwrap();
        p.push_back(row);
        if p.len() > PATHS {
            p.pop_front();
        }
    }
}
