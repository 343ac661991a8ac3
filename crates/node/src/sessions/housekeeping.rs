//! Expiry of idle sessions and transactions on this node.
use quincehatch_proxy::{Proxy, transaction};
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Idle timeout of transactions while no configuration is known, in milliseconds.
const DEFAULT_TRANSACTION_IDLE_MS: u64 = 10_000;

/// Returns the number of open transactions. A session that is locked by a request counts as having one.
pub fn open_transactions(proxy: &Proxy) -> usize {
    let sessions = proxy.sessions.all();
    let open = sessions
        .iter()
        .filter(|session| session.try_lock().map_or(true, |session| session.transaction.is_some()));
    open.count()
}

/// Expires idle transactions and evicts idle sessions at intervals, for as long as the process runs.
pub async fn run_housekeeping(proxy: Arc<Proxy>) {
    loop {
        seam::sleep(EXPIRY_INTERVAL).await;
        let state = proxy.registry.cluster_state();
        let idle_ms = match &state.configuration {
            Some(configuration) => configuration.queue.txn_idle_ms,
            None => DEFAULT_TRANSACTION_IDLE_MS,
        };
        transaction::expire_transactions(&proxy.registry, &proxy.sessions, idle_ms);
        proxy.evict_idle_sessions();
    }
}
