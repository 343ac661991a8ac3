//! The resolved route of a database's statements, and the deadlines that it implies.
use crate::tenants::ClientKey;
use quincehatch_config::configuration::{Configuration, Route};
use quincehatch_core::{Millis, Name};
use quincehatch_runtime::now;

/// The class of routes whose statements only the primary may run.
const WRITE_CLASS: &str = "order";
/// The minimum timeout of a statement within a transaction, which also applies if the route's timeout is shorter.
const MIN_TRANSACTION_STATEMENT_TIMEOUT: Millis = 200;
/// The minimum time before a read is hedged.
const MIN_HEDGE_DELAY: Millis = 60;

/// A route with its defaults and its client, resolved under one version of the configuration.
#[derive(Clone, Debug)]
pub struct ResolvedRoute {
    /// The group of servers.
    pub group: Name,
    /// Whether only the primary may run the statements.
    pub primary_only: bool,
    /// The maximum total duration of a statement.
    pub timeout: Millis,
    /// The route's latency target; its timeout if no target is configured.
    pub latency_target: Millis,
    /// The maximum lag of a replica that serves reads.
    pub max_staleness: Millis,
    /// The time after which a missing reply counts as health evidence against the server.
    pub query_timeout: Millis,
    /// The priority in the queue for a connection; lower numbers are served first.
    pub priority: u64,
    /// The key of the client.
    pub key: ClientKey,
    /// The tenant of the client; `None` if the route needs no key and the client's key is not a tenant's.
    pub tenant: Option<Name>,
}

/// The deadlines of one statement, on the local clock.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// The time after which no attempt may be started.
    pub start_by: Millis,
    /// The time by which the reply must have arrived.
    pub finish_by: Millis,
}

impl Deadlines {
    /// Returns the time that is left for the reply.
    pub fn time_left(&self) -> Millis {
        self.finish_by.saturating_sub(now())
    }

    /// Whether no further attempt may be started.
    pub fn start_deadline_passed(&self) -> bool {
        now() >= self.start_by
    }
}

impl ResolvedRoute {
    /// Resolves a route for a client with `key`, which belongs to `tenant`. Returns `None` if the route's placement
    /// names no group.
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

    /// Returns the deadlines of a statement outside a transaction, or of a commit, that starts now.
    pub fn deadlines(&self) -> Deadlines {
        self.deadlines_within(self.timeout)
    }

    /// Returns the deadlines of a statement within a transaction that starts now.
    ///
    /// Its timeout may be shorter than the route's: nothing of the transaction is committed, so aborting it early
    /// leaves the client time to retry. A commit, or a write outside a transaction, may have been applied and cannot be
    /// retried.
    pub fn transaction_deadlines(&self) -> Deadlines {
        let longest = self.timeout.max(MIN_TRANSACTION_STATEMENT_TIMEOUT);
        let within = (self.latency_target * 2).clamp(MIN_TRANSACTION_STATEMENT_TIMEOUT, longest);
        self.deadlines_within(within)
    }

    fn deadlines_within(&self, within: Millis) -> Deadlines {
        let started_at = now();
        let start_by = started_at + self.latency_target.min(self.timeout);
        Deadlines { start_by, finish_by: started_at + within }
    }

    /// Returns how long a read waits for its reply before it is hedged.
    pub fn hedge_delay(&self) -> Millis {
        (self.latency_target / 2).max(MIN_HEDGE_DELAY)
    }
}
