//! The connection pool of one proxy for one server. One lock guards its counts, and a connection is checked out to one
//! statement or transaction at a time.
use super::connection::{Connection, SessionSettings};
use super::open_throttle::OpenThrottle;
use super::waiters::{WaiterKey, Waiters};
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;
use std::io;
use std::sync::{Arc, Mutex};
use tokio::sync::oneshot;

#[derive(Default)]
struct PoolState {
    idle: Vec<Connection>,
    /// The number of connections that are checked out or being opened.
    checked_out: usize,
    waiters: Waiters,
    /// Incremented when the server drains or restarts: a connection of an earlier generation is closed at check-in.
    generation: u64,
    throttle: OpenThrottle,
}

/// The connection pool for one server.
#[derive(Default)]
pub struct DirectPool {
    state: Mutex<PoolState>,
}

/// The number of connections in a pool, by state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolCounts {
    /// Connections that are open and not in use.
    pub idle: usize,
    /// Connections that are in use or being opened.
    pub checked_out: usize,
}

/// Permission to use one connection, which may not be open yet. Dropping the permit passes it to the next waiter.
pub(super) struct Permit {
    pool: Arc<DirectPool>,
    generation: u64,
    /// Whether the permit no longer counts as checked out.
    released: bool,
}

impl Permit {
    /// Releases the permit once; `connection` is returned to the pool and must be usable.
    fn release(&mut self, connection: Option<Connection>) {
        if !std::mem::replace(&mut self.released, true) {
            self.pool.release(connection, self.generation);
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release(None);
    }
}

/// What a waiter receives: a permit, with a connection if one can be reused.
pub(super) struct Handover {
    /// `None` if the waiter is to open a connection.
    pub connection: Option<Connection>,
    pub permit: Permit,
}

/// A connection that is checked out. If the checkout is dropped without [`Checkout::check_in`], the connection is
/// closed, which rolls back any open transaction on it.
pub struct Checkout {
    /// The connection. Fields are dropped in order: the connection is closed before the permit allows another to be
    /// opened.
    pub connection: Connection,
    permit: Permit,
}

impl Checkout {
    pub(super) fn new(connection: Connection, permit: Permit) -> Checkout {
        Checkout { connection, permit }
    }

    /// Returns the connection to the pool. One on which a reply is pending is closed instead.
    pub fn check_in(self) {
        let Checkout { connection, mut permit } = self;
        let usable = Some(connection).filter(Connection::is_usable);
        permit.release(usable);
    }
}

/// The result of [`DirectPool::take_idle`].
pub(super) enum IdleConnection {
    Usable(Checkout),
    /// The connection broke while it was idle, and was removed from the pool.
    Broken(io::Error),
    /// The tenant has no idle connection.
    None,
}

/// A place in the queue for a connection.
pub(super) struct Waiter {
    pub key: WaiterKey,
    pub receiver: oneshot::Receiver<Handover>,
    /// When to retry while opening connections is throttled, as there may be no connection to be handed over.
    pub retry_at: Option<Millis>,
}

/// The result of [`DirectPool::reserve`].
pub(super) enum Reservation {
    /// The caller may open a connection.
    Granted(Permit),
    /// The caller waits: the maximum number of connections is in use, or none may be opened at present.
    Queued(Waiter),
}

impl DirectPool {
    /// Closes the idle connections now and the others at check-in. Called when the server drains or was replaced.
    pub fn close(&self) {
        let mut state = self.state.lock().unwrap();
        state.generation += 1;
        state.idle.clear();
    }

    /// Returns the number of connections that are checked out or being opened.
    pub fn checked_out(&self) -> usize {
        self.state.lock().unwrap().checked_out
    }

    /// Returns the number of requests that wait for a connection.
    pub fn waiter_count(&self) -> usize {
        self.state.lock().unwrap().waiters.len()
    }

    /// Returns the number of connections in each state.
    pub fn counts(&self) -> PoolCounts {
        let state = self.state.lock().unwrap();
        PoolCounts { idle: state.idle.len(), checked_out: state.checked_out }
    }

    /// Closes the idle connections that were last used before `before`, but leaves at least `keep` idle ones open.
    pub fn trim(&self, before: Millis, keep: usize) {
        let mut state = self.state.lock().unwrap();
        let mut to_close = state.idle.len().saturating_sub(keep);
        state.idle.retain(|connection| {
            let close = to_close > 0 && connection.last_used < before;
            if close {
                to_close -= 1;
            }
            !close
        });
    }

    /// Records that the server rejected a connection because its connection limit is reached.
    pub(super) fn record_connection_rejected(&self, now: Millis) {
        self.state.lock().unwrap().throttle.record_rejected(now);
    }

    /// Records that the server rejected a connection or statement because it is busy.
    pub(super) fn record_congestion(&self, now: Millis) {
        self.state.lock().unwrap().throttle.record_congestion(now);
    }

    /// Returns the time until which the server counts as congested; 0 if it was never congested.
    pub fn congested_until(&self) -> Millis {
        self.state.lock().unwrap().throttle.congested_until()
    }

    /// Records that the server accepted a connection.
    pub(super) fn record_connection_opened(&self) {
        self.state.lock().unwrap().throttle.record_opened(now());
    }

    /// Checks out an idle connection of the tenant: one with these settings if possible, else the most recently used.
    pub(super) fn take_idle(
        self: &Arc<Self>,
        tenant: Option<&Name>,
        settings: &SessionSettings,
    ) -> IdleConnection {
        let mut state = self.state.lock().unwrap();
        let is_tenants = |connection: &Connection| connection.tenant.as_ref() == tenant;
        let matching = state
            .idle
            .iter()
            .rposition(|connection| is_tenants(connection) && connection.settings == *settings);
        let last_used = || state.idle.iter().rposition(is_tenants);
        let Some(index) = matching.or_else(last_used) else { return IdleConnection::None };
        let mut connection = state.idle.remove(index);
        if let Some(error) = connection.idle_error() {
            drop(state);
            return IdleConnection::Broken(error);
        }
        let permit = self.grant(&mut state);
        IdleConnection::Usable(Checkout { connection, permit })
    }

    /// Returns a permit to open a connection for the tenant if fewer than `max` are in use and opening one is allowed,
    /// else a place in the queue.
    ///
    /// The caller found no idle connection of the tenant, so all idle ones belong to other tenants: if the pool has
    /// `max` connections, the least recently used idle one is closed.
    pub(super) fn reserve(self: &Arc<Self>, max: usize, priority: u64, tenant: Option<&Name>) -> Reservation {
        let mut state = self.state.lock().unwrap();
        let is_throttled = state.throttle.is_throttled(now(), state.checked_out);
        if state.checked_out < max && !is_throttled {
            let excess = (state.checked_out + state.idle.len() + 1).saturating_sub(max);
            state.idle.drain(..excess);
            state.throttle.record_attempt(now());
            return Reservation::Granted(self.grant(&mut state));
        }
        let (sender, receiver) = oneshot::channel();
        let key = state.waiters.add(priority, tenant.cloned(), sender);
        let retry_at = is_throttled.then_some(state.throttle.next_open_at());
        Reservation::Queued(Waiter { key, receiver, retry_at })
    }

    /// Leaves the queue. A handover may have been sent to the waiter already.
    pub(super) fn cancel_waiter(&self, key: WaiterKey) {
        self.state.lock().unwrap().waiters.remove(key);
    }

    fn grant(self: &Arc<Self>, state: &mut PoolState) -> Permit {
        state.checked_out += 1;
        Permit { pool: self.clone(), generation: state.generation, released: false }
    }

    /// Releases one checkout. The next waiter receives the connection if it belongs to the same tenant, else a permit
    /// to open one in its place. At a congested server no connection is opened, and waiters of other tenants stay
    /// queued. A handover includes the permit, so that it passes to the next waiter if this one was dropped.
    fn release(self: &Arc<Self>, connection: Option<Connection>, generation: u64) {
        let mut state = self.state.lock().unwrap();
        state.checked_out -= 1;
        let mut connection = connection.filter(|_| generation == state.generation);
        let is_congested = state.throttle.congested_until() > now();
        while let Some(waiter) = state.waiters.take_next(now(), connection.as_ref(), is_congested) {
            let permit = self.grant(&mut state);
            let handed_over = connection.take_if(|connection| connection.tenant == waiter.tenant);
            match waiter.sender.send(Handover { connection: handed_over, permit }) {
                Ok(()) => return,
                Err(mut undelivered) => {
                    connection = connection.or(undelivered.connection.take());
                    // Decremented here, because dropping the permit would lock the state again.
                    undelivered.permit.released = true;
                    state.checked_out -= 1;
                }
            }
        }
        let close_idle = state.throttle.should_close_idle(now());
        state.idle.extend(connection.filter(|_| !close_idle));
    }
}
