//! The state that all direct sessions of a proxy share.
use super::open_counts::OpenCounts;
use super::route::ResolvedRoute;
use super::session_memory::{PreparedTexts, SettingsBudget};
use super::statement_counts::StatementCounts;
use crate::Proxy;
use crate::pool::limits::keepalive_settings;
use crate::ports::ServerConnector;
use crate::tenants::{ClientKey, OperationAdmission};
use quincehatch_core::{Error, ErrorCode, Millis, Name};
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::KeepaliveSettings;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// The longest time after which an unused idle connection is closed; shorter where the even share is small.
const IDLE_TIMEOUT: Millis = 1_000;
/// A proxy whose even share of a server's connections is smaller may have up to this many.
const BORROW_LIMIT: usize = 4;
/// A proxy may exceed its even share up to the server's connections divided by this.
const BORROW_DIVISOR: usize = 8;
/// With an even share of at least this many connections, a proxy keeps one open however rarely it is used. If all
/// proxies do so, half of the server's connections remain for those that need more than one.
const MIN_SHARE_TO_KEEP_IDLE: usize = 2;
/// The number of connections that a server accepts if the configuration does not specify it.
const DEFAULT_SERVER_CONNECTIONS: u64 = 64;
/// The part of a server's connections that the proxies share, in twentieths. The last twentieth is reserved for the
/// nodes that monitor the group, and for lost connections that the server has not detected yet.
const SHARED_TWENTIETHS: usize = 19;

/// When a client may retry after the proxy held no lease.
pub(super) const RETRY_AFTER_NO_LEASE: Millis = 250;

/// The state that all direct sessions of a proxy share.
pub struct DirectProxy {
    /// The proxy.
    pub proxy: Arc<Proxy>,
    /// Opens connections to servers.
    pub servers: Arc<dyn ServerConnector>,
    /// The number of live proxies that share the servers' connections, including this one.
    pub live_nodes: AtomicUsize,
    /// The number of open sessions.
    pub open_sessions: AtomicUsize,
    /// The outcomes of statements.
    pub statement_counts: StatementCounts,
    /// The outcomes of attempts to open connections.
    pub open_counts: OpenCounts,
    /// The texts of the prepared statements of all sessions.
    pub prepared_texts: PreparedTexts,
    /// The memory of the settings of all sessions.
    pub settings_budget: SettingsBudget,
}

/// How many connections one proxy may have to one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// The server's shared connections divided by the number of proxies.
    pub even: usize,
    /// The number that the proxy may have as long as the server accepts them.
    pub max: usize,
}

impl DirectProxy {
    /// Creates the state without sessions. The proxy counts as the only live one until
    /// [`DirectProxy::trim_idle_connections`] updates the number.
    pub fn new(proxy: Arc<Proxy>, servers: Arc<dyn ServerConnector>) -> Arc<DirectProxy> {
        Arc::new(DirectProxy {
            proxy,
            servers,
            live_nodes: AtomicUsize::new(1),
            open_sessions: AtomicUsize::new(0),
            statement_counts: StatementCounts::default(),
            open_counts: OpenCounts::default(),
            prepared_texts: PreparedTexts::default(),
            settings_budget: SettingsBudget::default(),
        })
    }

    /// Whether this proxy holds a lease and a configuration, so that the routes it knows are in force.
    pub fn knows_configuration(&self) -> bool {
        let registry = &self.proxy.registry;
        registry.has_lease() && registry.cluster_state().configuration.is_some()
    }

    /// Returns the route of a database for a client with this key, under the configuration in force.
    ///
    /// # Errors
    /// `NoRoute` if no route matches the database, `Unauthenticated` if the route needs a key and this is no tenant's,
    /// `NoLease` while this proxy cannot know whether the key is still in force.
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

    /// Checks that the key with which the route was resolved still belongs to the same tenant.
    ///
    /// # Errors
    /// `Unauthenticated` if it does not.
    pub fn check_tenant(&self, route: &ResolvedRoute) -> Result<(), Error> {
        let state = self.proxy.registry.cluster_state();
        let is_unchanged =
            route.tenant.is_none() || state.tenants.tenant_of(route.key) == route.tenant.as_ref();
        if is_unchanged { Ok(()) } else { Err(ErrorCode::Unauthenticated.without_detail()) }
    }

    /// Admits an operation on the route: a statement outside a transaction, or a transaction.
    ///
    /// # Errors
    /// `QuotaExceeded` if the route's tenant is at its limit.
    pub(super) fn admit_operation<'a>(
        &'a self,
        route: &'a ResolvedRoute,
    ) -> Result<OperationAdmission<'a>, Error> {
        match self.limited_tenant(route) {
            Some(tenant) => self.proxy.quota.admit(tenant),
            None => Ok(OperationAdmission::granted()),
        }
    }

    /// Whether a statement on the route may be hedged. If its tenant has a limit, the hedge needs a token, which is
    /// taken here.
    pub(super) fn may_hedge(&self, route: &ResolvedRoute) -> bool {
        self.limited_tenant(route).is_none_or(|tenant| self.proxy.quota.try_take_token(tenant))
    }

    /// Returns the route's tenant if it has a limit.
    fn limited_tenant<'route>(&self, route: &'route ResolvedRoute) -> Option<&'route Name> {
        let state = self.proxy.registry.cluster_state();
        route.tenant.as_ref().filter(|tenant| state.tenants.has_limit(tenant))
    }

    /// Returns how many connections this proxy may have to one server of the group: its even share, or a few more if
    /// the even share is small, as it is unlikely that many proxies need more than that at the same time.
    pub fn connection_share(&self, group: &str) -> ConnectionShare {
        let state = self.proxy.registry.cluster_state();
        let group = state.configuration.as_ref().and_then(|config| config.group(group));
        let max_connections = group.map_or(DEFAULT_SERVER_CONNECTIONS, |group| group.connections) as usize;
        let proxies = self.live_nodes.load(Ordering::Relaxed).max(1);
        let even = (max_connections * SHARED_TWENTIETHS / 20 / proxies).max(1);
        ConnectionShare { even, max: even.max(BORROW_LIMIT.min(max_connections / BORROW_DIVISOR)) }
    }

    /// Periodically closes idle connections that were not used recently; runs until the task is cancelled. `live_nodes`
    /// returns the number of live proxies.
    ///
    /// Where many proxies spread their requests over many servers, an idle connection saves opening one for each
    /// request, which takes a server longer than a statement. Connections that are closed here are available to proxies
    /// that restart after a power loss, while the connections they lost still count at the servers.
    pub async fn trim_idle_connections(self: Arc<Self>, live_nodes: impl Fn() -> usize + Send) {
        loop {
            self.live_nodes.store(live_nodes(), Ordering::Relaxed);
            for server in self.proxy.registry.servers() {
                if server.direct_pool.counts().idle == 0 {
                    continue;
                }
                let even = self.connection_share(&server.group()).even.min(BORROW_LIMIT);
                let idle_timeout = IDLE_TIMEOUT * even as Millis / BORROW_LIMIT as Millis;
                let min_idle = usize::from(even >= MIN_SHARE_TO_KEEP_IDLE);
                server.direct_pool.trim(now().saturating_sub(idle_timeout), min_idle);
            }
            seam::sleep(Duration::from_millis(IDLE_TIMEOUT / BORROW_LIMIT as Millis)).await;
        }
    }

    /// Returns the keep-alive settings for connections to servers.
    pub fn keepalive_settings(&self) -> KeepaliveSettings {
        keepalive_settings(&self.proxy.health_settings())
    }
}
