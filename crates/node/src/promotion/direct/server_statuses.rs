//! The latest statuses of direct servers, and the connections that are reused for status queries and other calls.
use quincehatch_core::{Millis, Name};
use quincehatch_proxy::ports::{ServerConnection, ServerStatus};
use quincehatch_runtime::now;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// A connection not used for this long is closed.
const IDLE_TIMEOUT: Millis = 5_000;
/// The minimum of this limit in a large cluster, where many nodes hold a connection to each server.
const MIN_IDLE_TIMEOUT: Millis = 600;

/// A server's status, and when it was queried.
#[derive(Clone, Copy, Debug)]
pub struct StatusSample {
    /// When the query was sent.
    pub requested_at: Millis,
    /// The status that the server reported.
    pub status: ServerStatus,
}

/// An idle connection that the next call reuses.
pub(super) struct IdleConnection {
    /// The server's address when the connection was opened.
    pub(super) addr: Name,
    pub(super) connection: Box<dyn ServerConnection>,
    used_at: Millis,
}

/// The latest status of each server, and one idle connection to each.
#[derive(Default)]
pub struct ServerStatuses {
    connections: Mutex<BTreeMap<Name, IdleConnection>>,
    samples: Mutex<BTreeMap<Name, StatusSample>>,
}

impl ServerStatuses {
    /// Returns the server's latest status.
    pub fn latest(&self, server: &str) -> Option<StatusSample> {
        self.samples.lock().unwrap().get(server).copied()
    }

    /// Returns the server's latest status if it was queried at `since` or later.
    pub(super) fn latest_since(&self, server: &str, since: Millis) -> Option<StatusSample> {
        self.latest(server).filter(|sample| sample.requested_at >= since)
    }

    /// Returns the highest term that any of these servers has reported; 0 if none has reported one.
    pub(super) fn highest_term(&self, servers: &[Name]) -> u64 {
        let samples = self.samples.lock().unwrap();
        let reported = servers.iter().filter_map(|server| samples.get(server));
        let terms = reported.map(|sample| {
            let status = sample.status;
            status.term.max(status.suspended_term).max(status.received.fence)
        });
        terms.max().unwrap_or(0)
    }

    /// Records a status unless a later one is already recorded.
    pub(super) fn record(&self, server: &Name, sample: StatusSample) {
        let mut samples = self.samples.lock().unwrap();
        if samples.get(server).is_none_or(|latest| latest.requested_at <= sample.requested_at) {
            samples.insert(server.clone(), sample);
        }
    }

    pub(super) fn take_connection(&self, server: &Name) -> Option<IdleConnection> {
        self.connections.lock().unwrap().remove(server)
    }

    pub(super) fn return_connection(&self, server: &Name, addr: Name, connection: Box<dyn ServerConnection>) {
        let idle = IdleConnection { addr, connection, used_at: now() };
        self.connections.lock().unwrap().insert(server.clone(), idle);
    }

    /// Closes connections that have been idle for too long, and removes servers that no longer exist. `divisor`: by how
    /// much sooner idle connections are closed than in a small cluster.
    pub(super) fn prune(&self, divisor: u64, exists: impl Fn(&Name) -> bool) {
        // Idle connections of many nodes use up server connections that client requests need.
        let idle_timeout = (IDLE_TIMEOUT / divisor).max(MIN_IDLE_TIMEOUT);
        let is_live = |idle: &IdleConnection| now() < idle.used_at + idle_timeout;
        self.connections.lock().unwrap().retain(|server, idle| exists(server) && is_live(idle));
        self.samples.lock().unwrap().retain(|server, _| exists(server));
    }
}
