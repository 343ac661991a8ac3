//! What all direct sessions of a proxy share.
use super::open_counts::OpenCounts;
use super::route::ResolvedRoute;
use super::statement_counts::StatementCounts;
use crate::Proxy;
use crate::pool::limits::keepalive_settings;
use crate::ports::ServerConnector;
use crate::tenants::{ClientKey, OperationAdmission};
use bytes::Bytes;
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::KeepaliveSettings;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An idle connection that was not used for this long is not needed.
const IDLE_TIMEOUT: Millis = 1_000;
/// A proxy may have this many connections to a server though its even share is less.
const BORROW_LIMIT: usize = 4;
/// Of a server's connections, the divisor of the part up to which a proxy may exceed its even share.
const BORROW_DIVISOR: usize = 8;
/// With an even share of this or more a proxy keeps one connection however seldom it is used: if all do, half of the
/// server's connections are left for whoever needs more than one.
const KEEPING_SHARE: usize = 2;
/// Connections that a server takes where the configuration does not say.
const DEFAULT_SERVER_CONNECTIONS: u64 = 64;
/// The part of a server's connections that the proxies share, in twentieths: the last one is left for those that watch
/// the group, and for connections that are not known to be gone yet.
const SHARED_TWENTIETHS: usize = 19;

/// When a client may try again after the proxy held no lease.
pub(super) const RETRY_AFTER_NO_LEASE: Millis = 250;

/// What all direct sessions of a proxy share.
pub struct DirectProxy {
    /// The proxy.
    pub proxy: Arc<Proxy>,
    /// Opens connections to servers.
    pub servers: Arc<dyn ServerConnector>,
    /// Live proxies that share the servers' connections, this one included.
    pub live_nodes: AtomicUsize,
    /// Open sessions.
    pub open_sessions: AtomicUsize,
    /// How statements ended.
    pub statement_counts: StatementCounts,
    /// How attempts to open connections ended.
    pub open_counts: OpenCounts,
    prepared_names: Mutex<HashMap<PreparedKey, Name>>,
}

/// What makes two prepared statements the same.
#[derive(PartialEq, Eq, Hash)]
struct PreparedKey {
    write: bool,
    template: Bytes,
}

/// The connections of one proxy to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Its even share.
    pub even: usize,
    /// What it may have while the server takes them.
    pub max: usize,
}

impl DirectProxy {
    /// A proxy without sessions, alone until it is told of others.
    pub fn new(proxy: Arc<Proxy>, servers: Arc<dyn ServerConnector>) -> Arc<DirectProxy> {
        Arc::new(DirectProxy {
            proxy,
            servers,
            live_nodes: AtomicUsize::new(1),
            open_sessions: AtomicUsize::new(0),
            statement_counts: StatementCounts::default(),
            open_counts: OpenCounts::default(),
            prepared_names: Mutex::default(),
        })
    }

    /// Whether this proxy knows which routes are in force.
    pub fn knows_configuration(&self) -> bool {
        let registry = &self.proxy.registry;
        registry.has_lease() && registry.cluster_state().configuration.is_some()
    }

    /// The route of a database for a client with this key, under the configuration in force.
    ///
    /// # Errors
    /// `NoRoute` where no route takes the database, `Unauthenticated` where the route needs a key and this is no
    /// tenant's, `NoLease` while this proxy cannot know whether the key is still in force.
    pub fn resolve_route(&self, db: &str, key: ClientKey) -> Result<ResolvedRoute, Error> {
        let state = self.proxy.registry.cluster_state();
        let no_route = || ErrorCode::NoRoute.without_detail();
        let config = state.configuration.as_ref().ok_or_else(no_route)?;
        let index = state.route_by_database.get(db).ok_or_else(no_route)?;
        let route = config.routes.get(*index).ok_or_else(no_route)?;
        let tenant = state.tenants.authenticate(route, key)?;
        // A revocation is in force everywhere once each lease holder has applied it, so without a lease no key counts.
        if tenant.is_some() && !self.proxy.registry.has_lease() {
            return Err(ErrorCode::NoLease.without_detail().with_retry_after(RETRY_AFTER_NO_LEASE));
        }
        ResolvedRoute::resolve(config, route, key, tenant).ok_or_else(no_route)
    }

    /// Whether the key under which the route was resolved is still the same tenant's.
    ///
    /// # Errors
    /// `Unauthenticated` where it is not.
    pub fn check_tenant(&self, route: &ResolvedRoute) -> Result<(), Error> {
        let state = self.proxy.registry.cluster_state();
        let is_unchanged =
            route.tenant.is_none() || state.tenants.tenant_of(route.key) == route.tenant.as_ref();
        if is_unchanged { Ok(()) } else { Err(ErrorCode::Unauthenticated.without_detail()) }
    }

    /// Admits an operation that follows the route: a statement outside a transaction, or a transaction.
    ///
    /// # Errors
    /// `QuotaExceeded` where the route's tenant is at its limit.
    pub(super) fn admit_operation<'a>(
        &'a self,
        route: &'a ResolvedRoute,
    ) -> Result<OperationAdmission<'a>, Error> {
        match self.counted_tenant(route) {
            Some(tenant) => self.proxy.quota.admit(tenant),
            None => Ok(OperationAdmission::granted()),
        }
    }

    /// Whether a statement that follows the route may be sent a second time: each time counts.
    pub(super) fn may_run_twice(&self, route: &ResolvedRoute) -> bool {
        self.counted_tenant(route).is_none_or(|tenant| self.proxy.quota.take_spare(tenant))
    }

    fn counted_tenant<'route>(&self, route: &'route ResolvedRoute) -> Option<&'route Name> {
        let state = self.proxy.registry.cluster_state();
        route.tenant.as_ref().filter(|tenant| state.tenants.has_limit(tenant))
    }

    /// How many connections this proxy may have to one server of the group: its part of what all proxies share, and
    /// where that is little, what the others hardly need.
    pub fn connection_share(&self, group: &str) -> ConnectionShare {
        let state = self.proxy.registry.cluster_state();
        let group = state.configuration.as_ref().and_then(|config| config.group(group));
        let all = group.map_or(DEFAULT_SERVER_CONNECTIONS, |group| group.connections) as usize;
        let proxies = self.live_nodes.load(Ordering::Relaxed).max(1);
        let even = (all * SHARED_TWENTIETHS / 20 / proxies).max(1);
        ConnectionShare { even, max: even.max(BORROW_LIMIT.min(all / BORROW_DIVISOR)) }
    }

    /// Closes idle connections that were not needed lately, for as long as the task runs; `live_nodes` counts the live
    /// proxies.
    ///
    /// One that is kept saves a new one for each request where many proxies spread their requests over many servers: to
    /// open it takes more of a server's time than a statement does. What no proxy keeps is there for those that come
    /// back after a loss of power, while the connections they lost still count at the servers.
    pub async fn trim_idle_connections(self: Arc<Self>, live_nodes: impl Fn() -> usize + Send) {
        loop {
            self.live_nodes.store(live_nodes(), Ordering::Relaxed);
            for server in self.proxy.registry.servers() {
                if server.direct_pool.counts().idle == 0 {
                    continue;
                }
                let even = self.connection_share(&server.group()).even.min(BORROW_LIMIT);
                let idle_timeout = IDLE_TIMEOUT * even as Millis / BORROW_LIMIT as Millis;
                let keep = usize::from(even >= KEEPING_SHARE);
                server.direct_pool.trim(now().saturating_sub(idle_timeout), keep);
            }
            seam::sleep(Duration::from_millis(IDLE_TIMEOUT / BORROW_LIMIT as Millis)).await;
        }
    }

    /// The keep-alive settings of connections to servers.
    pub fn keepalive_settings(&self) -> KeepaliveSettings {
        keepalive_settings(&self.proxy.health_settings())
    }

    /// This proxy's name of a prepared statement: the same statement has one name, whatever clients call it, so that
    /// the names of two clients never collide on a connection.
    pub fn prepared_name(&self, write: bool, template: &Bytes) -> Name {
        let mut names = self.prepared_names.lock().unwrap();
        let next = names.len();
        let key = PreparedKey { write, template: template.clone() };
        names.entry(key).or_insert_with(|| format!("p{next}").into()).clone()
    }
}
