//! The connections that a listener has open, of which those that are idle make room for new ones.
use quincehatch_core::Millis;
use quincehatch_runtime::now;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use tokio::task::AbortHandle;

struct OpenConnection {
    /// Since when the caller has not asked for anything; `None` while a request is answered.
    idle_since: Option<Millis>,
    task: Option<AbortHandle>,
}

#[derive(Default)]
struct Table {
    connections: HashMap<u64, OpenConnection>,
    last_id: u64,
}

/// The open connections of one listener.
#[derive(Clone, Default)]
pub(crate) struct OpenConnections(Arc<Mutex<Table>>);

/// The place of one connection; dropped, it is free.
pub(crate) struct Place {
    id: u64,
    connections: OpenConnections,
}

impl OpenConnections {
    /// A place for a new connection, of at most `max`. The connection that has been idle for longest makes room for it: its
    /// caller opens another one when it has something to ask. `None` if a request is answered on each.
    pub fn take_place(&self, max: usize) -> Option<Place> {
        let mut table = self.0.lock().unwrap();
        if table.connections.len() >= max {
            let idle = table.connections.iter().filter_map(|(id, open)| Some((open.idle_since?, *id)));
            let (_, id) = idle.min()?;
            if let Some(task) = table.connections.remove(&id).and_then(|open| open.task) {
                task.abort();
            }
        }
        table.last_id += 1;
        let id = table.last_id;
        table.connections.insert(id, OpenConnection { idle_since: None, task: None });
        Some(Place { id, connections: self.clone() })
    }

    fn update(&self, id: u64, change: impl FnOnce(&mut OpenConnection)) {
        if let Some(open) = self.0.lock().unwrap().connections.get_mut(&id) {
            change(open);
        }
    }

    /// The task that serves the connection with that id.
    pub fn set_task(&self, id: u64, task: AbortHandle) {
        self.update(id, |open| open.task = Some(task));
    }
}

impl Place {
    pub fn id(&self) -> u64 {
        self.id
    }

    /// The caller waits for nothing from now on.
    pub fn set_idle(&self) {
        self.connections.update(self.id, |open| open.idle_since = Some(now()));
    }

    /// The caller waits for an answer.
    pub fn set_busy(&self) {
        self.connections.update(self.id, |open| open.idle_since = None);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.connections.0.lock().unwrap().connections.remove(&self.id);
    }
}
