//! Sessions that live as long as their origin's connection, before servers met over held links (§4.10).
pub mod choose;
pub mod command;
pub mod connection;
pub mod pool;
pub mod run;
pub mod session;
pub mod single;
pub mod transaction;

pub use command::{SessionCommand, SessionRequest, StatementResponse};
pub use session::DirectSession;

use crate::ports::ServerConnector;
use crate::proxy::Proxy;
use bytes::Bytes;
use quincehatch_config::configuration::Route;
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::KeepaliveSettings;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An idle link that was not used for so long is not needed.
const IDLE: Millis = 1_000;
/// So many links a node may hold to a server though its even part is less.
const BORROW: usize = 4;

/// What all held sessions of a node share.
pub struct DirectProxy {
    pub proxy: Arc<Proxy>,
    pub servers: Arc<dyn ServerConnector>,
    /// Nodes that share the servers' links, this one too.
    pub live_nodes: AtomicUsize,
    /// This side's names of prepared texts: the same text has one name, whatever origins call it (§4.10).
    names: Mutex<HashMap<(bool, Bytes), Name>>,
    pub open_sessions: AtomicUsize,
}

/// Links of one node to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Its even part.
    pub even: usize,
    /// What it may hold while the server takes them.
    pub max: usize,
}

/// A rule as a held visit follows it, with the version it is of.
#[derive(Clone, Debug)]
pub struct ResolvedRoute {
    pub group: Name,
    /// Only the lead may run it.
    pub lead: bool,
    pub timeout: Millis,
    pub aim: Millis,
    pub fresh: Millis,
    pub query_timeout: Millis,
    pub priority: u64,
}

impl DirectProxy {
    pub fn new(node: Arc<Proxy>, servers: Arc<dyn ServerConnector>) -> Arc<DirectProxy> {
        let (nodes, open) = (AtomicUsize::new(1), AtomicUsize::new(0));
        Arc::new(DirectProxy {
            proxy: node,
            servers,
            live_nodes: nodes,
            names: Mutex::default(),
            open_sessions: open,
        })
    }

    /// Does this node know which rules are in force?
    pub fn knows_configuration(&self) -> bool {
        self.proxy.registry.has_lease() && self.proxy.registry.cluster_state().configuration.is_some()
    }

    /// The way of a database's visits under the blueprint in force; none where no rule takes them.
    pub fn resolve_route(&self, db: &str) -> Option<ResolvedRoute> {
        let plan = self.proxy.registry.cluster_state();
        let bp = plan.configuration.as_ref()?;
        let rule: &Route = bp.routes.get(*plan.route_by_database.get(db)?)?;
        let group = bp.placement(&rule.placement)?.select.get("group")?.first()?;
        Some(ResolvedRoute {
            group: group.as_str().into(),
            lead: rule.class == "order",
            timeout: rule.timeout_ms,
            aim: rule.latency_target_ms.unwrap_or(rule.timeout_ms),
            fresh: rule.max_staleness_ms,
            query_timeout: rule.query_timeout_ms.unwrap_or(bp.health.query_timeout_ms),
            priority: rule.priority,
        })
    }

    /// How many links this node may hold to one server of the group: its part of what all nodes share, and where that
    /// is little, what others hardly need (§5.13).
    pub fn connection_share(&self, group: &str) -> ConnectionShare {
        let plan = self.proxy.registry.cluster_state();
        let all =
            plan.configuration.as_ref().and_then(|b| b.group(group)).map_or(64, |g| g.connections) as usize;
        // A twentieth is left for those that look after the group and for links not yet known gone.
        let own = (all * 19 / 20 / self.live_nodes.load(Ordering::Relaxed).max(1)).max(1);
        ConnectionShare { even: own, max: own.max(BORROW.min(all / 8)) }
    }

    /// Closes idle links that were not needed lately, all but one a server: what is not held by someone is there for
    /// those who come back after a loss of power, while the links they lost still count at the servers (§4.10).
    pub async fn trim_idle_connections(self: Arc<Self>, live: impl Fn() -> usize + Send) {
        loop {
            self.live_nodes.store(live(), Ordering::Relaxed);
            for r in self.proxy.registry.servers() {
                // Where a node's part is small, one kept by each node would be all that a server takes.
                let own = self.connection_share(&r.group()).even.min(BORROW);
                let idle = IDLE * own as Millis / BORROW as Millis;
                r.direct_pool.trim(now().saturating_sub(idle), usize::from(own == BORROW));
            }
            seam::sleep(Duration::from_millis(IDLE / BORROW as Millis)).await;
        }
    }

    pub fn keepalive_settings(&self) -> KeepaliveSettings {
        let j = self.proxy.health_settings();
        KeepaliveSettings {
            idle: Duration::from_millis(j.keepalive_idle_ms),
            user_timeout: Duration::from_millis(j.user_timeout_ms),
        }
    }

    /// This side's name of a prepared text.
    pub fn prepared_name(&self, write: bool, shape: &Bytes) -> Name {
        let mut names = self.names.lock().unwrap();
        let next = names.len();
        names.entry((write, shape.clone())).or_insert_with(|| format!("p{next}").into()).clone()
    }
}
