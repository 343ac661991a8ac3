//! The connections to one server.
use crate::pool::connection::Connection;
use crate::pool::slots::ConnectionSlots;
use quincehatch_core::Name;
use quincehatch_wire::http::OnDisconnect;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// What a pool needs to know of its server.
pub trait PooledServer: Send + Sync + 'static {
    /// Name of the server.
    fn name(&self) -> &Name;
    /// Where it listens at this moment.
    fn addr(&self) -> Name;
    /// Whether it said that it drains: it gets no new work.
    fn is_draining(&self) -> bool;
    /// Its connections.
    fn pool(&self) -> &ConnectionPool;
    /// Takes note of idle connections that end.
    fn on_disconnect(self: &Arc<Self>) -> OnDisconnect;
}

/// The connections to one server.
#[derive(Default)]
pub struct ConnectionPool {
    /// Counts the connections and keeps the idle ones.
    pub slots: ConnectionSlots<Connection>,
    /// Requests that wait for a connection.
    pub queued: AtomicUsize,
    /// Notified when a connection or room for one comes free.
    pub(super) freed: Notify,
    /// Rises when all connections are to be replaced; one from an earlier epoch is not kept.
    pub(super) epoch: AtomicUsize,
}

impl ConnectionPool {
    /// Drops idle connections and grants none until [`ConnectionPool::reset`].
    pub fn close(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        drop(self.slots.close());
        self.freed.notify_waiters();
    }

    /// Drops idle connections, as those from before are not to be used, and grants new ones.
    pub fn reset(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        drop(self.slots.reset());
        self.freed.notify_waiters();
    }

    /// Drops idle connections that have ended.
    pub fn prune(&self) {
        let dropped = self.slots.prune(|connection| !connection.is_closed());
        if dropped > 0 {
            self.freed.notify_waiters();
        }
    }
}
