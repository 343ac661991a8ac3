//! The open connections of a listener. When all places are taken, an idle connection is closed for a new one.
//!
//! Callers keep connections open for later calls. A listener that only waited for one of them to end would answer
//! nobody new for as long as its callers have nothing to ask.
use crate::listener_counters;
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// The number of a connection, in order of arrival.
type ConnectionId = u64;

/// Whether a request is being answered on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Activity {
    Busy,
    /// Idle; of two idle connections the one with the lower number has been idle for longer.
    IdleSince(u64),
}

struct OpenConnection {
    /// The tag of the calling process; `None` before its first request.
    caller: Option<u32>,
    activity: Activity,
    closing: Arc<Notify>,
}

#[derive(Default)]
struct Table {
    connections: BTreeMap<ConnectionId, OpenConnection>,
    next_id: ConnectionId,
    /// Number of times that a connection became idle.
    idle_events: u64,
}

/// The open connections of one listener.
pub(crate) struct OpenConnections {
    max: usize,
    table: Mutex<Table>,
    /// Notified when a connection has ended or become idle.
    available: Notify,
}

/// The place of one open connection. The place is free again once this is dropped or the connection is closed for
/// another one.
pub(crate) struct Place {
    id: ConnectionId,
    connections: Arc<OpenConnections>,
    closing: Arc<Notify>,
}

impl Table {
    /// Returns the connection to close for a new one, `None` if none is idle: of the callers with the most connections,
    /// the one that has been idle for longest.
    fn idle_connection_to_close(&self) -> Option<ConnectionId> {
        let mut connections_by_caller: HashMap<u32, usize> = HashMap::new();
        for caller in self.connections.values().filter_map(|connection| connection.caller) {
            *connections_by_caller.entry(caller).or_default() += 1;
        }
        let of_same_caller = |connection: &OpenConnection| {
            connection.caller.map_or(1, |caller| connections_by_caller[&caller])
        };
        let idle = self.connections.iter().filter_map(|(id, connection)| match connection.activity {
            Activity::Busy => None,
            Activity::IdleSince(event) => Some((*id, of_same_caller(connection), event)),
        });
        let preferred =
            idle.max_by_key(|(_, of_same_caller, event)| (*of_same_caller, std::cmp::Reverse(*event)));
        preferred.map(|(id, ..)| id)
    }
}

impl OpenConnections {
    pub fn new(max: usize) -> Arc<OpenConnections> {
        listener_counters::set_limit(max);
        Arc::new(OpenConnections { max, table: Mutex::default(), available: Notify::new() })
    }

    /// Takes a place for a new connection. Waits while a request is being answered on every open connection.
    pub async fn take_place(self: &Arc<Self>) -> Place {
        loop {
            let available = self.available.notified();
            if let Some(place) = self.try_take_place() {
                return place;
            }
            available.await;
        }
    }

    fn try_take_place(self: &Arc<Self>) -> Option<Place> {
        let mut table = self.table.lock().unwrap();
        if table.connections.len() >= self.max {
            let id = table.idle_connection_to_close()?;
            if let Some(closed) = table.connections.remove(&id) {
                closed.closing.notify_one();
                listener_counters::count_closed_for_another();
            }
        }
        let id = table.next_id;
        table.next_id += 1;
        let closing = Arc::new(Notify::new());
        let connection = OpenConnection { caller: None, activity: Activity::Busy, closing: closing.clone() };
        table.connections.insert(id, connection);
        listener_counters::set_open(table.connections.len());
        Some(Place { id, connections: self.clone(), closing })
    }
}

impl Place {
    /// Records that the caller waits for no answer.
    pub fn set_idle(&self) {
        let mut table = self.connections.table.lock().unwrap();
        table.idle_events += 1;
        let event = table.idle_events;
        if let Some(connection) = table.connections.get_mut(&self.id) {
            connection.activity = Activity::IdleSince(event);
        }
        drop(table);
        self.connections.available.notify_waiters();
    }

    /// Records that the caller, a process with this tag, waits for an answer.
    pub fn set_busy(&self, caller: u32) {
        let mut table = self.connections.table.lock().unwrap();
        if let Some(connection) = table.connections.get_mut(&self.id) {
            connection.activity = Activity::Busy;
            connection.caller = Some(caller);
        }
    }

    /// Returns once the connection is to be closed for another one.
    pub async fn closed_for_another(&self) {
        self.closing.notified().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut table = self.connections.table.lock().unwrap();
        table.connections.remove(&self.id);
        listener_counters::set_open(table.connections.len());
        drop(table);
        self.connections.available.notify_waiters();
    }
}
