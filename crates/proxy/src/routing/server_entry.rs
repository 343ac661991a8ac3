//! All that a node knows of one database server.
use crate::direct::pool::DirectPool;
use crate::health::evidence::ConnectionUsage;
use crate::health::state::Health;
use crate::pool::{Checkout, ConnectionPool, PooledServer};
use quincehatch_core::name_table::NameIndex;
use quincehatch_core::{FencingToken, Millis, Name, Role, ServerHeartbeat, ServerState};
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::OnDisconnect;
use std::sync::{Arc, Mutex, RwLock};

/// A server that has not answered STATUS for so long gets no new work: it may be draining.
const ANSWERED_RECENTLY: Millis = 3_000;

/// How long a primary that drains takes new work while another is found. Each node hears of it within its lease (4 s),
/// and 7 s after the server began to drain no new work may come.
const DRAIN_GRACE: Millis = 3_000;

/// A connection to a server, checked out of its pool.
pub type ServerCheckout = Checkout<ServerEntry>;

/// All that this node knows of one server.
pub struct ServerEntry {
    /// Index of its name.
    pub index: NameIndex,
    /// Its name.
    pub name: Name,
    /// The newest heartbeat.
    pub heartbeat: RwLock<ServerHeartbeat>,
    /// Its health as this node sees it.
    pub health: Mutex<Health>,
    /// Connections for requests over the HTTP contract.
    pub pool: ConnectionPool,
    /// Connections of direct sessions.
    pub direct_pool: Arc<DirectPool>,
    /// How idle connections ended since the health was last looked at.
    pub idle_errors: Mutex<Vec<std::io::Error>>,
    /// What STATUS brought last.
    pub status: Mutex<StatusRecord>,
}

/// What STATUS and other answers say of a server.
#[derive(Clone, Debug, Default)]
pub struct StatusRecord {
    /// When the last request left.
    pub asked_at: Millis,
    /// When the last answer came.
    pub answered_at: Millis,
    /// STATUS has failed since then.
    pub failing_since: Option<Millis>,
    /// The connection was refused or reset: nobody listens there.
    pub refused: bool,
    /// The server drains since then.
    pub draining_since: Option<Millis>,
    /// When it last said that it is not the primary.
    pub denied_primary_at: Option<Millis>,
    /// The boot and the fence under which it last said that it is primary and shows all of its log.
    pub complete_under: Option<(u64, FencingToken)>,
}

impl StatusRecord {
    /// Whether this primary shows all of its log. One that drains does not say whether it is still starting: it must have
    /// said so before, in this incarnation and under this fence.
    pub fn shows_complete_log(&mut self, heartbeat: &ServerHeartbeat) -> bool {
        let incarnation = (heartbeat.boot, heartbeat.fence);
        let is_primary = heartbeat.role == Role::Primary;
        if is_primary && heartbeat.state == ServerState::Up {
            self.complete_under = Some(incarnation);
        }
        let was_complete = self.complete_under == Some(incarnation);
        is_primary && heartbeat.state != ServerState::Starting && was_complete
    }
}

impl ServerEntry {
    /// A server that was not known before; its first heartbeat is still to be applied.
    pub fn new(index: NameIndex, heartbeat: &ServerHeartbeat) -> ServerEntry {
        ServerEntry {
            index,
            name: heartbeat.server.clone(),
            heartbeat: RwLock::new(ServerHeartbeat { seq: 0, ..heartbeat.clone() }),
            health: Mutex::default(),
            pool: ConnectionPool::default(),
            direct_pool: Arc::default(),
            idle_errors: Mutex::default(),
            status: Mutex::default(),
        }
    }

    /// Where it listens.
    pub fn addr(&self) -> Name {
        self.heartbeat.read().unwrap().addr.clone()
    }

    /// Its group.
    pub fn group(&self) -> Name {
        self.heartbeat.read().unwrap().group().into()
    }

    /// Its zone.
    pub fn zone(&self) -> Name {
        self.heartbeat.read().unwrap().zone().into()
    }

    /// Its role as it last told it.
    pub fn role(&self) -> Role {
        self.heartbeat.read().unwrap().role
    }

    /// Whether it drains.
    pub fn is_draining(&self) -> bool {
        self.status.lock().unwrap().draining_since.is_some()
    }

    /// What is going on with a connection to it that ends at this moment.
    pub fn connection_usage(&self, reply_pending: bool) -> ConnectionUsage {
        ConnectionUsage { reply_pending, server_draining: self.is_draining() }
    }

    /// The server said that it drains, or that it is back.
    pub fn set_draining(&self, draining: bool) {
        if seam::injected_bug("work-after-leaving") {
            return;
        }
        let mut status = self.status.lock().unwrap();
        match (draining, status.draining_since) {
            (true, None) => {
                status.draining_since = Some(now());
                drop(status);
                self.pool.close();
                self.direct_pool.close();
                log::info!(target: "health", "server {} drains, it gets no new work", self.name);
            }
            (false, Some(_)) => {
                status.draining_since = None;
                drop(status);
                self.pool.reset();
                log::info!(target: "health", "server {} is back", self.name);
            }
            _ => {}
        }
    }

    /// Whether it answered so recently that this node cannot have missed for 7 s that it drains.
    pub fn answered_recently(&self) -> bool {
        now() < self.status.lock().unwrap().answered_at + ANSWERED_RECENTLY
    }

    /// Whether it has been draining for so long, as heard here, that it takes no new work even as primary.
    pub fn past_drain_grace(&self) -> bool {
        let draining_since = self.status.lock().unwrap().draining_since;
        draining_since.is_some_and(|since| now() >= since + DRAIN_GRACE)
    }

    /// It rejected something as it is not the primary: kept for whoever looks after the group.
    pub fn note_not_primary(&self, at: Millis) {
        self.status.lock().unwrap().denied_primary_at = Some(at);
    }

    /// It answered a request that was sent at `asked_at`.
    pub fn note_answer(&self, asked_at: Millis) {
        let mut status = self.status.lock().unwrap();
        status.asked_at = status.asked_at.max(asked_at);
        status.answered_at = now();
        status.failing_since = None;
        status.refused = false;
    }

    /// It did not answer what was sent at `asked_at`, or nobody listens there. A later answer outweighs this.
    pub fn note_failure(&self, asked_at: Millis, refused: bool) {
        let mut status = self.status.lock().unwrap();
        if asked_at >= status.answered_at {
            status.asked_at = status.asked_at.max(asked_at);
            status.failing_since = status.failing_since.or(Some(asked_at));
            status.refused = refused;
        }
    }
}

impl PooledServer for ServerEntry {
    fn name(&self) -> &Name {
        &self.name
    }

    fn addr(&self) -> Name {
        ServerEntry::addr(self)
    }

    fn is_draining(&self) -> bool {
        ServerEntry::is_draining(self)
    }

    fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    fn on_disconnect(self: &Arc<Self>) -> OnDisconnect {
        let server = self.clone();
        Box::new(move |error| server.idle_errors.lock().unwrap().push(error))
    }
}
