//! A statement outside a transaction: where it runs, and when it is sent a second time.
use super::primary_statement::run_on_primary;
use super::replica_read::{TriedServers, run_on_any};
use super::response::StatementResponse;
use super::statement::SingleStatement;
use quincehatch_runtime::seam;
use std::pin::pin;
use std::time::Duration;

/// Runs one statement where its route says. Reads are hedged.
pub(super) async fn run_single(run: SingleStatement<'_>) -> StatementResponse {
    run.direct.proxy.retry_budget.earn();
    if run.statement.write {
        return run_on_primary(run).await;
    }
    if run.route.primary_only {
        return hedge(run, || run_on_primary(run)).await;
    }
    let tried = TriedServers::default();
    hedge(run, || run_on_any(run, &tried)).await
}

/// Sends a read that is not answered within half of its latency target a second time, unless the retry budget is spent:
/// a read of replicas to another server. The first success counts.
async fn hedge<F>(run: SingleStatement<'_>, attempt: impl Fn() -> F) -> StatementResponse
where
    F: Future<Output = StatementResponse>,
{
    let mut first = pin!(attempt());
    let delay = Duration::from_millis(run.route.hedge_delay());
    if let Ok(response) = seam::timeout(delay, first.as_mut()).await {
        return response;
    }
    if !run.direct.proxy.retry_budget.try_spend() || !run.direct.may_run_twice(run.route) {
        return first.await;
    }
    let mut second = pin!(attempt());
    match seam::select_first(first.as_mut(), second.as_mut()).await {
        Ok(response) | Err(response) if response.result.is_ok() => response,
        Ok(_) => second.await,
        Err(_) => first.await,
    }
}
