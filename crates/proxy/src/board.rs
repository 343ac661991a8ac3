//! The blackboard (§2.7): controllers write what they know, everyone reads. Shards, each under its own lock.
use crate::fresh::Seen;
use crate::newest::{Newest, Numbered};
use crate::pool::Pool;
use crate::verdict::Health;
use quincehatch_config::configuration::{Configuration, Placement};
use quincehatch_core::name_table::{NameIndex, NameTable};
use quincehatch_core::{ServerHeartbeat, ChangeNumber, PrimaryAssignment, Millis, Name, Version};
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
pub struct Plan {
    pub n: ChangeNumber,
    pub version: Version,
    pub blueprint: Option<Arc<Configuration>>,
    pub leads: BTreeMap<Name, PrimaryAssignment>,
    /// The rule of each database that held sessions name (§4.10), by its place.
    pub by_db: Arc<HashMap<Name, usize>>,
}

impl Numbered for Plan {
    fn newer_or_same(&self, than: &Self) -> bool {
        self.n >= than.n && self.version >= than.version
    }
}

/// All this node holds on one server.
pub struct ServerRow {
    pub ix: NameIndex,
    pub name: Name,
    pub beat: RwLock<ServerHeartbeat>,
    pub health: Mutex<Health>,
    pub pool: Pool,
    /// Links of held sessions (§4.10).
    pub held: crate::direct::pool::DirectPool,
    /// How idle links broke since the judges last looked.
    pub broke: Mutex<Vec<std::io::Error>>,
    /// Newest STATUS: when asked, and whether it says that the server leaves.
    pub status: Mutex<StatusRow>,
}

#[derive(Clone, Debug, Default)]
pub struct StatusRow {
    pub asked: Millis,
    pub answered: Millis,
    /// STATUS has failed since then.
    pub failing: Option<Millis>,
    /// The link was declined or reset, so that nobody listens there.
    pub declined: bool,
    pub left: Option<Millis>,
    /// When it last said that it does not lead.
    pub not_lead: Option<Millis>,
    /// The boot and the fence under which it last said that it leads and shows all of its log.
    pub whole: Option<(u64, quincehatch_core::FencingToken)>,
}

pub struct Board {
    names: RwLock<NameTable>,
    rows: RwLock<Vec<Arc<ServerRow>>>,
    plan: Newest<Plan>,
    seen: Mutex<BTreeMap<Name, Seen>>,
    /// The lease holds until then on the local clock.
    lease_until: AtomicU64,
    /// The end of what this node passed on as acknowledged, by group (§5.5).
    pub(crate) acked: Mutex<BTreeMap<Name, crate::noted::Acked>>,
    /// What is under way, by group.
    pub works: crate::work::Works,
    /// Told when a new plan is in force.
    pub changed: tokio::sync::Notify,
    pub stopping: std::sync::atomic::AtomicBool,
    /// An operator asked that no more origins be sent here.
    pub draining: std::sync::atomic::AtomicBool,
}

impl Default for Board {
    fn default() -> Self {
        Self {
            names: RwLock::default(),
            rows: RwLock::default(),
            plan: Newest::new(Plan::default()),
            seen: Mutex::default(),
            lease_until: AtomicU64::new(0),
            acked: Mutex::default(),
            works: Default::default(),
            changed: Default::default(),
            stopping: false.into(),
            draining: false.into(),
        }
    }
}

impl Board {
    pub fn plan(&self) -> Arc<Plan> {
        self.plan.get()
    }
    /// Takes a plan; one with an older number is not taken (§1 N10).
    pub fn set_plan(&self, p: Plan) -> bool {
        let taken = self.plan.set(p, |old, new| {
            for (_, l) in new.leads.iter().filter(|(g, l)| old.leads.get(*g) != Some(*l)) {
                if let Some(r) = l.server.as_ref().and_then(|s| self.row(s)) {
                    r.health.lock().unwrap().named(now());
                }
            }
        });
        self.changed.notify_waiters();
        taken
    }
    /// Does the plan name this server the group's lead?
    pub fn leads(&self, group: &str, server: &str) -> bool {
        self.plan.get().leads.get(group).is_some_and(|l| l.server.as_ref().is_some_and(|s| s == server))
    }
    pub fn lead(&self, group: &str) -> Option<PrimaryAssignment> {
        self.plan.get().leads.get(group).cloned()
    }
    pub fn renew_lease(&self, until: Millis) {
        self.lease_until.fetch_max(until, Ordering::SeqCst);
    }
    /// The lease is used no more, whatever is left of it.
    pub fn give_up_lease(&self) {
        self.lease_until.store(0, Ordering::SeqCst);
    }
    /// Sets the lease outright, lower too: a test's way to a node whose lease runs out.
    #[doc(hidden)]
    pub fn lease_for_test(&self, until: Millis) {
        self.lease_until.store(until, Ordering::SeqCst);
    }
    pub fn lease_left(&self) -> Millis {
        self.lease_until.load(Ordering::SeqCst).saturating_sub(now())
    }
    pub fn has_lease(&self) -> bool {
        self.lease_left() > 0 || (seam::injected_bug("no-lease") && self.lease_until.load(Ordering::SeqCst) > 0)
    }
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// A beat arrives by whatever way; newest version wins. True when it was news.
    pub fn beat(&self, b: ServerHeartbeat) -> bool {
        if self.row(&b.server).is_none() && self.rows.read().unwrap().len() >= SERVERS {
            return false;
        }
        let row = self.row_or_new(&b);
        let mut cur = row.beat.write().unwrap();
        if b.version() <= cur.version() && cur.seq != 0 {
            return false;
        }
        let (moved, reborn) = (cur.addr != b.addr, cur.boot != b.boot);
        let leaving = b.state == quincehatch_core::ServerState::Draining;
        *cur = b;
        drop(cur);
        if moved || reborn {
            row.pool.shut(false);
            row.held.close();
        }
        row.note_leaving(leaving);
        true
    }

    fn row_or_new(&self, b: &ServerHeartbeat) -> Arc<ServerRow> {
        if let Some(r) = self.row(&b.server) {
            return r;
        }
        let mut names = self.names.write().unwrap();
        let ix = names.intern(&b.server);
        let mut rows = self.rows.write().unwrap();
        if let Some(r) = rows.get(ix.0 as usize) {
            return r.clone();
        }
        let row = Arc::new(ServerRow {
            ix,
            name: b.server.clone(),
            beat: RwLock::new(ServerHeartbeat { seq: 0, ..b.clone() }),
            health: Mutex::default(),
            pool: Pool::default(),
            held: Default::default(),
            broke: Mutex::default(),
            status: Mutex::default(),
        });
        rows.push(row.clone());
        row
    }

    pub fn row(&self, name: &str) -> Option<Arc<ServerRow>> {
        let ix = self.names.read().unwrap().index_of(name)?;
        self.rows.read().unwrap().get(ix.0 as usize).cloned()
    }
    pub fn rows(&self) -> Vec<Arc<ServerRow>> {
        self.rows.read().unwrap().clone()
    }
    /// Servers of a placement, by their labels.
    pub fn placed(&self, bp: &Configuration, p: &Placement) -> Vec<Arc<ServerRow>> {
        self.rows().into_iter().filter(|r| bp.placement_includes(p, &r.beat.read().unwrap().labels)).collect()
    }
    /// What the primary was seen to hold. It still proves something when another leads, as no other acknowledges a
    /// commit while this node holds its lease and has not heard of the change (§4.8); without a lease it may.
    pub fn note_seen(&self, group: &str, asked: Millis, pos: quincehatch_core::Position) {
        if self.has_lease() {
            self.seen(group, |s| s.note(asked, pos));
        }
    }
    pub fn seen<T>(&self, group: &str, f: impl FnOnce(&mut Seen) -> T) -> T {
        let mut s = self.seen.lock().unwrap();
        f(s.entry(group.into()).or_default())
    }
    pub fn beats(&self) -> Vec<ServerHeartbeat> {
        self.rows().iter().map(|r| r.beat.read().unwrap().clone()).collect()
    }
}

impl ServerRow {
    /// Keeps an idle link's break for the judges.
    pub fn on_break(self: &Arc<Self>) -> OnDisconnect {
        let row = self.clone();
        Box::new(move |e| row.broke.lock().unwrap().push(e))
    }
    pub fn addr(&self) -> Name {
        self.beat.read().unwrap().addr.clone()
    }
    pub fn group(&self) -> Name {
        self.beat.read().unwrap().group().into()
    }
    pub fn district(&self) -> Name {
        self.beat.read().unwrap().zone().into()
    }
    pub fn leaving(&self) -> bool {
        self.status.lock().unwrap().left.is_some()
    }
}
