//! The pool of connections to one server.
use crate::pool::connection::Connection;
use crate::pool::slots::ConnectionSlots;
use quincehatch_core::Name;
use quincehatch_wire::http::OnDisconnect;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;

/// What a pool needs to know about its server.
pub trait PooledServer: Send + Sync + 'static {
    /// Returns the name of the server.
    fn name(&self) -> &Name;
    /// Returns the server's current address.
    fn addr(&self) -> Name;
    /// Whether the server reported that it is draining; a draining server gets no new requests.
    fn is_draining(&self) -> bool;
    /// Returns the server's connection pool.
    fn pool(&self) -> &ConnectionPool;
    /// Returns the callback that records the end of an idle connection.
    fn on_disconnect(self: &Arc<Self>) -> OnDisconnect;
}

/// The pool of connections to one server.
#[derive(Default)]
pub struct ConnectionPool {
    /// The idle connections and the counts of open ones.
    pub slots: ConnectionSlots<Connection>,
    /// The number of requests that wait for a connection.
    pub queued: AtomicUsize,
    /// Notified when a connection is returned or a slot becomes free.
    pub(super) freed: Notify,
    /// Incremented when all connections are to be replaced; a connection checked out in an earlier epoch is closed on
    /// check-in.
    pub(super) epoch: AtomicUsize,
}

impl ConnectionPool {
    /// Closes the idle connections and grants no connection until [`ConnectionPool::reset`].
    pub fn close(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        drop(self.slots.close());
        self.freed.notify_waiters();
    }

    /// Closes the idle connections, which must not be used any more, and grants new ones.
    pub fn reset(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        drop(self.slots.reset());
        self.freed.notify_waiters();
    }

    /// Removes the idle connections that have ended.
    pub fn prune(&self) {
        let dropped = self.slots.prune(|connection| !connection.is_closed());
        if dropped > 0 {
            self.freed.notify_waiters();
        }
    }
}
