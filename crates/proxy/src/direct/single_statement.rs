//! Routes a statement outside a transaction to the primary or a replica, and hedges reads.
use super::primary_statement::run_on_primary;
use super::replica_read::{TriedServers, run_on_any_server};
use super::response::StatementResponse;
use super::statement::SingleStatement;
use quincehatch_runtime::seam;
use std::pin::pin;
use std::time::Duration;

/// Runs one statement on the servers that its route allows. Reads are hedged.
pub(super) async fn run_single(run: SingleStatement<'_>) -> StatementResponse {
    run.direct.proxy.retry_budget.add_request_credit();
    if run.statement.write {
        return run_on_primary(run).await;
    }
    if run.route.primary_only {
        return hedge(run, || run_on_primary(run)).await;
    }
    let tried = TriedServers::default();
    hedge(run, || run_on_any_server(run, &tried)).await
}

/// Runs a read, and sends it a second time if no response arrives within the hedge delay, the retry budget is not spent
/// and the tenant's quota allows it. A read that may run on replicas goes to another server the second time. The first
/// success is returned.
async fn hedge<F>(run: SingleStatement<'_>, attempt: impl Fn() -> F) -> StatementResponse
where
    F: Future<Output = StatementResponse>,
{
    let mut first = pin!(attempt());
    let delay = Duration::from_millis(run.route.hedge_delay());
    if let Ok(response) = seam::timeout(delay, first.as_mut()).await {
        return response;
    }
    if !run.direct.proxy.retry_budget.try_spend() || !run.direct.may_hedge(run.route) {
        return first.await;
    }
    let mut second = pin!(attempt());
    match seam::select_first(first.as_mut(), second.as_mut()).await {
        Ok(response) | Err(response) if response.result.is_ok() => response,
        Ok(_) => second.await,
        Err(_) => first.await,
    }
}
