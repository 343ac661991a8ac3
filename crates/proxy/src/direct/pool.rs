//! The connections of one proxy to one server: counted under one lock, checked out to one statement or transaction at a
//! time.
use super::connection::{Connection, SessionSettings};
use super::open_gate::OpenGate;
use super::waiters::{WaiterKey, Waiters};
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;
use std::io;
use std::sync::{Arc, Mutex};
use tokio::sync::oneshot;

#[derive(Default)]
struct PoolState {
    idle: Vec<Connection>,
    /// Connections that are checked out, and those that are being opened.
    checked_out: usize,
    waiters: Waiters,
    /// Changes when the server drains or restarts: connections from before are not kept.
    generation: u64,
    gate: OpenGate,
}

/// The connections to one server.
#[derive(Default)]
pub struct DirectPool {
    state: Mutex<PoolState>,
}

/// How many connections a pool has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolCounts {
    /// Nobody uses them.
    pub idle: usize,
    /// In use, or being opened.
    pub checked_out: usize,
}

/// The right to one connection to the server; the connection may not be open yet. Dropping it passes the right on.
pub(super) struct Permit {
    pool: Arc<DirectPool>,
    generation: u64,
    /// It is not counted any more.
    released: bool,
}

impl Permit {
    /// Gives the right up, with a connection that is in good order.
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

/// What a waiter gets: a connection, or the right to open one.
pub(super) struct Handover {
    pub connection: Option<Connection>,
    pub permit: Permit,
}

/// A connection that is checked out. Dropped without [`Checkout::check_in`] it is closed, which rolls back what is open
/// on it.
pub struct Checkout {
    /// The connection. It stands before the permit, so that it is closed before another may be opened.
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

/// An idle connection, if there is one.
pub(super) enum IdleConnection {
    Usable(Checkout),
    /// It broke while it was idle, and was removed.
    Broken(io::Error),
    None,
}

/// A place among those that wait for a connection.
pub(super) struct Waiter {
    pub key: WaiterKey,
    pub receiver: oneshot::Receiver<Handover>,
    /// While the server takes no more connections, nobody may be there to hand one on: try again at this time.
    pub retry_at: Option<Millis>,
}

/// What a request for a connection got.
pub(super) enum Reservation {
    /// A connection may be opened.
    Granted(Permit),
    /// All are in use.
    Queued(Waiter),
}

impl DirectPool {
    /// Closes the idle connections now and the others as they are checked in: the server drains, or was replaced.
    pub fn close(&self) {
        let mut state = self.state.lock().unwrap();
        state.generation += 1;
        state.idle.clear();
    }

    /// Connections that are checked out or being opened.
    pub fn checked_out(&self) -> usize {
        self.state.lock().unwrap().checked_out
    }

    /// How many wait for a connection.
    pub fn waiting(&self) -> usize {
        self.state.lock().unwrap().waiters.len()
    }

    /// How many connections there are.
    pub fn counts(&self) -> PoolCounts {
        let state = self.state.lock().unwrap();
        PoolCounts { idle: state.idle.len(), checked_out: state.checked_out }
    }

    /// Closes the idle connections that were last used before `before`, all but `keep`.
    pub fn trim(&self, before: Millis, keep: usize) {
        let mut state = self.state.lock().unwrap();
        let mut spare = state.idle.len().saturating_sub(keep);
        state.idle.retain(|connection| {
            let close = spare > 0 && connection.last_used < before;
            if close {
                spare -= 1;
            }
            !close
        });
    }

    /// The server rejected a connection, as it has as many as it takes.
    pub(super) fn note_full(&self, now: Millis) {
        self.state.lock().unwrap().gate.note_rejected(now);
    }

    /// The server rejected a statement, as it is busy.
    pub(super) fn note_congested(&self, now: Millis) {
        self.state.lock().unwrap().gate.note_congested(now);
    }

    /// Until when no further connection is opened, as the server is congested; 0 if it never was.
    pub fn congested_until(&self) -> Millis {
        self.state.lock().unwrap().gate.congested_until()
    }

    /// The server took a connection.
    pub(super) fn note_opened(&self) {
        self.state.lock().unwrap().gate.note_taken(now());
    }

    /// An idle connection of the tenant, preferably one with these settings, else the one used last.
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
        if let Some(error) = connection.broken() {
            drop(state);
            return IdleConnection::Broken(error);
        }
        let permit = self.grant(&mut state);
        IdleConnection::Usable(Checkout { connection, permit })
    }

    /// The right to open a connection for the tenant while fewer than `max` are in use, else a place in the queue.
    ///
    /// The tenant has no idle connection, so those that are idle are other tenants': where there are `max` connections,
    /// the one that was unused for the longest time makes room.
    pub(super) fn reserve(self: &Arc<Self>, max: usize, priority: u64, tenant: Option<&Name>) -> Reservation {
        let mut state = self.state.lock().unwrap();
        let is_closed = state.gate.is_closed(now(), state.checked_out);
        if state.checked_out < max && !is_closed {
            let excess = (state.checked_out + state.idle.len() + 1).saturating_sub(max);
            state.idle.drain(..excess);
            state.gate.note_attempt(now());
            return Reservation::Granted(self.grant(&mut state));
        }
        let (sender, receiver) = oneshot::channel();
        let key = state.waiters.add(priority, tenant.cloned(), sender);
        let retry_at = is_closed.then_some(state.gate.opens_at());
        Reservation::Queued(Waiter { key, receiver, retry_at })
    }

    /// Gives a place in the queue up. A handover may have been sent already.
    pub(super) fn cancel_waiter(&self, key: WaiterKey) {
        self.state.lock().unwrap().waiters.remove(key);
    }

    fn grant(self: &Arc<Self>, state: &mut PoolState) -> Permit {
        state.checked_out += 1;
        Permit { pool: self.clone(), generation: state.generation, released: false }
    }

    /// One is checked out no more. The next waiter gets the connection if it is its tenant's, else the right to open one
    /// in its place; at a congested server none is opened, and those of other tenants wait on. The permit is sent along, so that nothing is lost when the waiter is gone: dropping it passes the right on.
    fn release(self: &Arc<Self>, connection: Option<Connection>, generation: u64) {
        let mut state = self.state.lock().unwrap();
        state.checked_out -= 1;
        let mut connection = connection.filter(|_| generation == state.generation);
        let is_congested = state.gate.congested_until() > now();
        while let Some(waiter) = state.waiters.take_next(now(), connection.as_ref(), is_congested) {
            let permit = self.grant(&mut state);
            let handed_over = connection.take_if(|connection| connection.tenant == waiter.tenant);
            match waiter.sender.send(Handover { connection: handed_over, permit }) {
                Ok(()) => return,
                Err(mut refused) => {
                    connection = connection.or(refused.connection.take());
                    // Counted back here, as dropping the permit would lock the state again.
                    refused.permit.released = true;
                    state.checked_out -= 1;
                }
            }
        }
        let crowded = state.gate.is_crowded(now());
        state.idle.extend(connection.filter(|_| !crowded));
    }
}
