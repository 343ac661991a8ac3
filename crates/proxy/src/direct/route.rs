//! How statements of one database are routed, and the time limits that follow from it.
use crate::tenants::ClientKey;
use quincehatch_config::configuration::{Configuration, Route};
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;

/// The class of routes that only the primary may serve.
const WRITE_CLASS: &str = "order";
/// A statement within a transaction is given at least this long, if the route's timeout allows it.
const MIN_TRANSACTION_STATEMENT_TIMEOUT: Millis = 200;
/// No read is sent a second time sooner.
const MIN_HEDGE_DELAY: Millis = 60;

/// A route as a statement follows it, resolved under one version of the configuration.
#[derive(Clone, Debug)]
pub struct ResolvedRoute {
    /// The group of servers.
    pub group: Name,
    /// Only the primary may run the statements.
    pub primary_only: bool,
    /// How long a statement may take in all.
    pub timeout: Millis,
    /// The route's latency target; its timeout where none is configured.
    pub latency_target: Millis,
    /// How far a replica may lag behind for reads.
    pub max_staleness: Millis,
    /// After this time an unanswered statement is evidence against its server.
    pub query_timeout: Millis,
    /// Among those that wait for a connection; lower numbers are served first.
    pub priority: u64,
    /// The key of the client that follows it.
    pub key: ClientKey,
    /// For whom the statements run; `None` for a client without a tenant on a route that needs no key.
    pub tenant: Option<Name>,
}

/// The time limits of one statement, on the local clock.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// It must be under way by then, or is given up at once.
    pub start_by: Millis,
    /// Its answer must be there by then.
    pub finish_by: Millis,
}

impl Deadlines {
    /// How much time is left for the answer.
    pub fn time_left(&self) -> Millis {
        self.finish_by.saturating_sub(now())
    }

    /// Whether no further attempt may be started.
    pub fn start_passed(&self) -> bool {
        now() >= self.start_by
    }
}

impl ResolvedRoute {
    /// Resolves a route for a client with `key`, who is `tenant`; `None` where its placement names no group.
    pub fn resolve(
        config: &Configuration,
        route: &Route,
        key: ClientKey,
        tenant: Option<Name>,
    ) -> Option<ResolvedRoute> {
        let group = config.placement(&route.placement)?.select.get("group")?.first()?;
        Some(ResolvedRoute {
            group: group.as_str().into(),
            primary_only: route.class == WRITE_CLASS,
            timeout: route.timeout_ms,
            latency_target: route.latency_target_ms.unwrap_or(route.timeout_ms),
            max_staleness: route.max_staleness_ms,
            query_timeout: route.query_timeout_ms.unwrap_or(config.health.query_timeout_ms),
            priority: route.priority,
            key,
            tenant,
        })
    }

    /// The limits of a statement outside a transaction, or of a commit, that begins now.
    pub fn deadlines(&self) -> Deadlines {
        self.deadlines_within(self.timeout)
    }

    /// The limits of a statement within a transaction that begins now.
    ///
    /// It may go unanswered for less than the route's timeout: nothing of it is committed, so giving it up leaves the
    /// client time to begin anew. A commit, or a write outside a transaction, has no such way out.
    pub fn transaction_deadlines(&self) -> Deadlines {
        let longest = self.timeout.max(MIN_TRANSACTION_STATEMENT_TIMEOUT);
        let within = (self.latency_target * 2).clamp(MIN_TRANSACTION_STATEMENT_TIMEOUT, longest);
        self.deadlines_within(within)
    }

    fn deadlines_within(&self, within: Millis) -> Deadlines {
        let began = now();
        let start_by = began + self.latency_target.min(self.timeout);
        Deadlines { start_by, finish_by: began + within }
    }

    /// How long a read waits for its answer before it is sent a second time.
    pub fn hedge_delay(&self) -> Millis {
        (self.latency_target / 2).max(MIN_HEDGE_DELAY)
    }
}
