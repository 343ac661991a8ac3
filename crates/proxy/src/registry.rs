//! The blackboard (§2.7): controllers write what they know, everyone reads. Shards, each under its own lock.
use crate::freshness::Seen;
use crate::latest::{Latest, Numbered};
use crate::pool::ConnectionPool;
use crate::state::Health;
use quincehatch_config::configuration::{Configuration, Placement};
use quincehatch_core::name_table::{NameIndex, NameTable};
use quincehatch_core::{ChangeNumber, Millis, Name, PrimaryAssignment, ServerHeartbeat, Version};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::OnDisconnect;
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};

/// Servers a node keeps account of at most.
const SERVERS: usize = 1_024;

/// What the chain says, as this node has applied it.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    pub number: ChangeNumber,
    pub version: Version,
    pub configuration: Option<Arc<Configuration>>,
    pub primaries: BTreeMap<Name, PrimaryAssignment>,
    /// The rule of each database that held sessions name (§4.10), by its place.
    pub route_by_database: Arc<HashMap<Name, usize>>,
}

impl Numbered for ClusterState {
    fn newer_or_same(&self, than: &Self) -> bool {
        self.number >= than.number && self.version >= than.version
    }
}

/// All this node holds on one server.
pub struct ServerEntry {
    pub index: NameIndex,
    pub name: Name,
    pub heartbeat: RwLock<ServerHeartbeat>,
    pub health: Mutex<Health>,
    pub pool: ConnectionPool,
    /// Links of held sessions (§4.10).
    pub direct_pool: Arc<crate::direct::pool::DirectPool>,
    /// How idle links broke since the judges last looked.
    pub idle_errors: Mutex<Vec<std::io::Error>>,
    /// Newest STATUS: when asked, and whether it says that the server leaves.
    pub status: Mutex<StatusRecord>,
}

#[derive(Clone, Debug, Default)]
pub struct StatusRecord {
    pub asked_at: Millis,
    pub answered_at: Millis,
    /// STATUS has failed since then.
    pub failing_since: Option<Millis>,
    /// The link was declined or reset, so that nobody listens there.
    pub refused: bool,
    pub draining_since: Option<Millis>,
    /// When it last said that it does not lead.
    pub denied_primary_at: Option<Millis>,
    /// The boot and the fence under which it last said that it leads and shows all of its log.
    pub complete_under: Option<(u64, quincehatch_core::FencingToken)>,
}

pub struct Registry {
    names: RwLock<NameTable>,
    rows: RwLock<Vec<Arc<ServerEntry>>>,
    plan: Latest<ClusterState>,
    seen: Mutex<BTreeMap<Name, Seen>>,
    /// The lease holds until then on the local clock.
    lease_until: AtomicU64,
    /// The end of what this node passed on as acknowledged, by group (§5.5).
    pub(crate) acked: Mutex<BTreeMap<Name, crate::commit_notes::Acked>>,
    /// What is under way, by group.
    pub in_flight: crate::in_flight::InFlightCounts,
    /// Told when a new plan is in force.
    pub changed: tokio::sync::Notify,
    pub stopping: std::sync::atomic::AtomicBool,
    /// An operator asked that no more origins be sent here.
    pub draining: std::sync::atomic::AtomicBool,
}

impl Default for Registry {
    fn default() -> Self {
        Self {
            names: RwLock::default(),
            rows: RwLock::default(),
            plan: Latest::new(ClusterState::default()),
            seen: Mutex::default(),
            lease_until: AtomicU64::new(0),
            acked: Mutex::default(),
            in_flight: Default::default(),
            changed: Default::default(),
            stopping: false.into(),
            draining: false.into(),
        }
    }
}

impl Registry {
    pub fn cluster_state(&self) -> Arc<ClusterState> {
        self.plan.get()
    }
    /// Takes a plan; one with an older number is not taken (§1 N10).
    pub fn set_cluster_state(&self, p: ClusterState) -> bool {
        let taken = self.plan.set(p, |old, new| {
            for (_, l) in new.primaries.iter().filter(|(g, l)| old.primaries.get(*g) != Some(*l)) {
                if let Some(r) = l.server.as_ref().and_then(|s| self.server(s)) {
                    r.health.lock().unwrap().note_assigned_primary(now());
                }
            }
        });
        self.changed.notify_waiters();
        taken
    }
    /// Does the plan name this server the group's lead?
    pub fn is_primary(&self, group: &str, server: &str) -> bool {
        self.plan.get().primaries.get(group).is_some_and(|l| l.server.as_ref().is_some_and(|s| s == server))
    }
    pub fn primary(&self, group: &str) -> Option<PrimaryAssignment> {
        self.plan.get().primaries.get(group).cloned()
    }
    pub fn renew_lease(&self, until: Millis) {
        self.lease_until.fetch_max(until, Ordering::SeqCst);
    }
    /// The lease is used no more, whatever is left of it.
    pub fn release_lease(&self) {
        self.lease_until.store(0, Ordering::SeqCst);
    }
    /// Sets the lease outright, lower too: a test's way to a node whose lease runs out.
    #[doc(hidden)]
    pub fn set_lease_for_test(&self, until: Millis) {
        self.lease_until.store(until, Ordering::SeqCst);
    }
    pub fn lease_remaining(&self) -> Millis {
        self.lease_until.load(Ordering::SeqCst).saturating_sub(now())
    }
    pub fn has_lease(&self) -> bool {
        self.lease_remaining() > 0
            || (seam::injected_bug("no-lease") && self.lease_until.load(Ordering::SeqCst) > 0)
    }
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// A beat arrives by whatever way; newest version wins. True when it was news.
    pub fn apply_heartbeat(&self, b: ServerHeartbeat) -> bool {
        if self.server(&b.server).is_none() && self.rows.read().unwrap().len() >= SERVERS {
            return false;
        }
        let row = self.server_or_insert(&b);
        let mut cur = row.heartbeat.write().unwrap();
        if b.version() <= cur.version() && cur.seq != 0 {
            return false;
        }
        let (moved, reborn) = (cur.addr != b.addr, cur.boot != b.boot);
        let leaving = b.state == quincehatch_core::ServerState::Draining;
        *cur = b;
        drop(cur);
        if moved || reborn {
            row.pool.shut(false);
            row.direct_pool.close();
        }
        row.set_draining(leaving);
        true
    }

    fn server_or_insert(&self, b: &ServerHeartbeat) -> Arc<ServerEntry> {
        if let Some(r) = self.server(&b.server) {
            return r;
        }
        let mut names = self.names.write().unwrap();
        let ix = names.intern(&b.server);
        let mut rows = self.rows.write().unwrap();
        if let Some(r) = rows.get(ix.0 as usize) {
            return r.clone();
        }
        let row = Arc::new(ServerEntry {
            index: ix,
            name: b.server.clone(),
            heartbeat: RwLock::new(ServerHeartbeat { seq: 0, ..b.clone() }),
            health: Mutex::default(),
            pool: ConnectionPool::default(),
            direct_pool: Default::default(),
            idle_errors: Mutex::default(),
            status: Mutex::default(),
        });
        rows.push(row.clone());
        row
    }

    pub fn server(&self, name: &str) -> Option<Arc<ServerEntry>> {
        let ix = self.names.read().unwrap().index_of(name)?;
        self.rows.read().unwrap().get(ix.0 as usize).cloned()
    }
    pub fn servers(&self) -> Vec<Arc<ServerEntry>> {
        self.rows.read().unwrap().clone()
    }
    /// Servers of a placement, by their labels.
    pub fn servers_in_placement(&self, bp: &Configuration, p: &Placement) -> Vec<Arc<ServerEntry>> {
        self.servers()
            .into_iter()
            .filter(|r| bp.placement_includes(p, &r.heartbeat.read().unwrap().labels))
            .collect()
    }
    /// What the primary was seen to hold. It still proves something when another leads, as no other acknowledges a
    /// commit while this node holds its lease and has not heard of the change (§4.8); without a lease it may.
    pub fn record_primary_position(&self, group: &str, asked: Millis, pos: quincehatch_core::Position) {
        if self.has_lease() {
            self.with_primary_positions(group, |s| s.note(asked, pos));
        }
    }
    pub fn with_primary_positions<T>(&self, group: &str, f: impl FnOnce(&mut Seen) -> T) -> T {
        let mut s = self.seen.lock().unwrap();
        f(s.entry(group.into()).or_default())
    }
    pub fn heartbeats(&self) -> Vec<ServerHeartbeat> {
        self.servers().iter().map(|r| r.heartbeat.read().unwrap().clone()).collect()
    }
}

impl ServerEntry {
    /// Keeps an idle link's break for the judges.
    pub fn on_break(self: &Arc<Self>) -> OnDisconnect {
        let row = self.clone();
        Box::new(move |e| row.idle_errors.lock().unwrap().push(e))
    }
    pub fn addr(&self) -> Name {
        self.heartbeat.read().unwrap().addr.clone()
    }
    pub fn group(&self) -> Name {
        self.heartbeat.read().unwrap().group().into()
    }
    pub fn zone(&self) -> Name {
        self.heartbeat.read().unwrap().zone().into()
    }
    pub fn is_draining(&self) -> bool {
        self.status.lock().unwrap().draining_since.is_some()
    }
}
