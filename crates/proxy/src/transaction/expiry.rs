//! Expires transactions that are idle or whose server drains.
use crate::routing::registry::Registry;
use crate::session::sessions::Sessions;
use crate::transaction::open::OpenTransaction;
use quincehatch_core::Millis;
use quincehatch_runtime::now;

/// How long a transaction may continue after its server reported that it drains.
pub const DRAIN_TIMEOUT: Millis = 5_000;

/// Ends the transactions that were idle for `idle_timeout` or whose server has drained for `DRAIN_TIMEOUT`. Their
/// connections are dropped, and the servers roll back.
pub fn expire_transactions(registry: &Registry, sessions: &Sessions, idle_timeout: Millis) {
    for session in sessions.all() {
        // A session that is locked is in use by a request.
        let Ok(mut session) = session.try_lock() else { continue };
        let is_expired = session
            .transaction
            .as_ref()
            .is_some_and(|transaction| is_expired(registry, transaction, idle_timeout));
        if is_expired {
            session.transaction = None;
            log::info!(target: "session", "transaction expired: it was idle, or its server is draining");
        }
    }
}

fn is_expired(registry: &Registry, transaction: &OpenTransaction, idle_timeout: Millis) -> bool {
    if now() > transaction.last_used + idle_timeout {
        return true;
    }
    let Some(server) = registry.server(&transaction.server) else { return false };
    let draining_since = server.status.lock().unwrap().draining_since;
    draining_since.is_some_and(|since| now() > since + DRAIN_TIMEOUT)
}
