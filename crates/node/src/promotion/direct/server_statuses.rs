//! What direct servers last reported of themselves to this node, and the connections they were asked over.
use quincehatch_core::{Millis, Name};
use quincehatch_proxy::ports::{ServerConnection, ServerStatus};
use quincehatch_runtime::now;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// A connection not used for this long is closed.
const IDLE_LIMIT: Millis = 5_000;
/// The same where many nodes keep one each.
const MIN_IDLE_LIMIT: Millis = 600;

/// A server's status, and when it was asked for.
#[derive(Clone, Copy, Debug)]
pub struct StatusSample {
    /// When the question was sent.
    pub asked_at: Millis,
    /// What the server reported.
    pub status: ServerStatus,
}

/// A connection that is kept for the next question.
pub(super) struct KeptConnection {
    /// Where it leads.
    pub(super) addr: Name,
    pub(super) connection: Box<dyn ServerConnection>,
    used_at: Millis,
}

/// The latest status of each server, and one kept connection to each.
#[derive(Default)]
pub struct ServerStatuses {
    connections: Mutex<BTreeMap<Name, KeptConnection>>,
    samples: Mutex<BTreeMap<Name, StatusSample>>,
}

impl ServerStatuses {
    /// The server's latest status.
    pub fn latest(&self, server: &str) -> Option<StatusSample> {
        self.samples.lock().unwrap().get(server).copied()
    }

    /// The server's latest status, if it was asked for at that time or later.
    pub(super) fn latest_since(&self, server: &str, since: Millis) -> Option<StatusSample> {
        self.latest(server).filter(|sample| sample.asked_at >= since)
    }

    /// The highest term that any of these servers has reported; 0 if none reported any.
    pub(super) fn highest_term(&self, servers: &[Name]) -> u64 {
        let samples = self.samples.lock().unwrap();
        let reported = servers.iter().filter_map(|server| samples.get(server));
        let terms = reported.map(|sample| {
            let status = sample.status;
            status.term.max(status.suspended_term).max(status.received.fence)
        });
        terms.max().unwrap_or(0)
    }

    /// Records a status unless a later one is known.
    pub(super) fn record(&self, server: &Name, sample: StatusSample) {
        let mut samples = self.samples.lock().unwrap();
        if samples.get(server).is_none_or(|latest| latest.asked_at <= sample.asked_at) {
            samples.insert(server.clone(), sample);
        }
    }

    pub(super) fn take_connection(&self, server: &Name) -> Option<KeptConnection> {
        self.connections.lock().unwrap().remove(server)
    }

    pub(super) fn keep_connection(&self, server: &Name, addr: Name, connection: Box<dyn ServerConnection>) {
        let kept = KeptConnection { addr, connection, used_at: now() };
        self.connections.lock().unwrap().insert(server.clone(), kept);
    }

    /// Closes idle connections, and forgets servers that are gone. `divisor`: by how much sooner connections are closed
    /// than in a small cluster.
    pub(super) fn prune(&self, divisor: u64, exists: impl Fn(&Name) -> bool) {
        // A connection that each of many nodes keeps is one that no client's work gets.
        let idle_limit = (IDLE_LIMIT / divisor).max(MIN_IDLE_LIMIT);
        let is_live = |kept: &KeptConnection| now() < kept.used_at + idle_limit;
        self.connections.lock().unwrap().retain(|server, kept| exists(server) && is_live(kept));
        self.samples.lock().unwrap().retain(|server, _| exists(server));
    }
}
