//! The registry entry of one database server.
use crate::direct::pool::DirectPool;
use crate::health::evidence::ConnectionUsage;
use crate::health::state::Health;
use crate::pool::{Checkout, ConnectionPool, PooledServer};
use quincehatch_core::name_table::NameIndex;
use quincehatch_core::{FencingToken, Millis, Name, Role, ServerHeartbeat, ServerState};
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::OnDisconnect;
use std::sync::{Arc, Mutex, RwLock};

/// The time after which a server that has not answered STATUS gets no new work, because it may be draining.
const ANSWERED_RECENTLY: Millis = 3_000;

/// How long a draining primary accepts new work while another one is chosen. Each node learns of the draining within
/// its lease (4 s), and no new work may arrive 7 s after the server began to drain.
const DRAIN_GRACE: Millis = 3_000;

/// A connection to a server, checked out of its pool.
pub type ServerCheckout = Checkout<ServerEntry>;

/// The address, state and health of one server as this node knows them, with the connection pools to it.
pub struct ServerEntry {
    /// The index of the server's name.
    pub index: NameIndex,
    /// The server's name.
    pub name: Name,
    /// The newest heartbeat of the server.
    pub heartbeat: RwLock<ServerHeartbeat>,
    /// The server's health as this node observes it.
    pub health: Mutex<Health>,
    /// The connection pool for requests over the HTTP contract.
    pub pool: ConnectionPool,
    /// The connection pool of direct sessions.
    pub direct_pool: Arc<DirectPool>,
    /// The errors with which idle connections ended since the health was last updated.
    pub idle_errors: Mutex<Vec<std::io::Error>>,
    /// The results of the last STATUS requests.
    pub status: Mutex<StatusRecord>,
}

/// The server's state as shown by answers to STATUS and other requests.
#[derive(Clone, Debug, Default)]
pub struct StatusRecord {
    /// When the last request was sent.
    pub queried_at: Millis,
    /// When the last answer was received.
    pub answered_at: Millis,
    /// The time since which STATUS has failed.
    pub failing_since: Option<Millis>,
    /// Whether the connection was refused or reset, as when no process listens at the address.
    pub refused: bool,
    /// The time since which the server has been draining.
    pub draining_since: Option<Millis>,
    /// When the server last reported that it is not the primary.
    pub not_primary_at: Option<Millis>,
    /// The boot and the fence under which the server last reported that it is primary and shows its complete log.
    pub complete_log_incarnation: Option<(u64, FencingToken)>,
}

impl StatusRecord {
    /// Whether this primary shows its complete log. A draining primary does not report whether it is still starting, so
    /// it must have shown the complete log before, in the same incarnation and under the same fence.
    pub fn shows_complete_log(&mut self, heartbeat: &ServerHeartbeat) -> bool {
        let incarnation = (heartbeat.boot, heartbeat.fence);
        let is_primary = heartbeat.role == Role::Primary;
        if is_primary && heartbeat.state == ServerState::Up {
            self.complete_log_incarnation = Some(incarnation);
        }
        let was_complete = self.complete_log_incarnation == Some(incarnation);
        is_primary && heartbeat.state != ServerState::Starting && was_complete
    }
}

impl ServerEntry {
    /// Creates the entry of a new server. Its first heartbeat is still to be applied.
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

    /// Returns the server's address.
    pub fn addr(&self) -> Name {
        self.heartbeat.read().unwrap().addr.clone()
    }

    /// Returns the server's group.
    pub fn group(&self) -> Name {
        self.heartbeat.read().unwrap().group().into()
    }

    /// Returns the server's zone.
    pub fn zone(&self) -> Name {
        self.heartbeat.read().unwrap().zone().into()
    }

    /// Returns the role that the server last reported.
    pub fn role(&self) -> Role {
        self.heartbeat.read().unwrap().role
    }

    /// Whether the server is draining.
    pub fn is_draining(&self) -> bool {
        self.status.lock().unwrap().draining_since.is_some()
    }

    /// Returns the state of a connection to the server that ends now.
    pub fn connection_usage(&self, reply_pending: bool) -> ConnectionUsage {
        ConnectionUsage { reply_pending, server_draining: self.is_draining() }
    }

    /// Records whether the server reports that it is draining.
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
                log::info!(target: "health", "server {} is draining and gets no new work", self.name);
            }
            (false, Some(_)) => {
                status.draining_since = None;
                drop(status);
                self.pool.reset();
                log::info!(target: "health", "server {} is no longer draining", self.name);
            }
            _ => {}
        }
    }

    /// Whether the server answered so recently that this node cannot have missed for 7 s that it drains.
    pub fn answered_recently(&self) -> bool {
        now() < self.status.lock().unwrap().answered_at + ANSWERED_RECENTLY
    }

    /// Whether this node has known for so long that the server drains that the server gets no new work even as primary.
    pub fn is_past_drain_grace(&self) -> bool {
        let draining_since = self.status.lock().unwrap().draining_since;
        draining_since.is_some_and(|since| now() >= since + DRAIN_GRACE)
    }

    /// Records that the server rejected a request because it is not the primary. The node that manages the group reads
    /// this.
    pub fn record_not_primary(&self, at: Millis) {
        self.status.lock().unwrap().not_primary_at = Some(at);
    }

    /// Records that the server answered a request that was sent at `queried_at`.
    pub fn record_answer(&self, queried_at: Millis) {
        let mut status = self.status.lock().unwrap();
        status.queried_at = status.queried_at.max(queried_at);
        status.answered_at = now();
        status.failing_since = None;
        status.refused = false;
    }

    /// Records that the server did not answer a request that was sent at `queried_at`, or that the connection was
    /// refused. A later answer takes precedence.
    pub fn record_failure(&self, queried_at: Millis, refused: bool) {
        let mut status = self.status.lock().unwrap();
        if queried_at >= status.answered_at {
            status.queried_at = status.queried_at.max(queried_at);
            status.failing_since = status.failing_since.or(Some(queried_at));
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
