//! Commits, outcome queries and seals of idempotency keys on a stand-in (docs/server.md).
use super::StandIn;
use super::calls::{check_primary, str_field, u64_field};
use super::http_server::ConnectionReset;
use crate::database::{KeyOutcome, Write};
use quincehatch_core::{FencingToken, Millis};
use quincehatch_runtime::{now, seam};
use serde_json::{Value, json};
use std::time::Duration;

/// Longest wait of a commit for a second server before it is answered as in doubt.
const COMMIT_TIMEOUT: Millis = 8_000;
/// Interval at which a waiting commit checks the log without a notification.
const COMMIT_POLL: Duration = Duration::from_millis(100);

/// Commits an order at most once under its idempotency key and answers when it is stored on two servers.
pub(super) async fn commit_order(
    server: &StandIn,
    body: &Value,
    writes: Vec<Write>,
    rows: Value,
) -> Result<Value, ConnectionReset> {
    let (key, sum, fence) = (str_field(body, "try"), str_field(body, "sum"), u64_field(body, "fence"));
    server.faults.storage_delay().await;
    if let Err(reply) = check_primary(server, fence) {
        return Ok(reply);
    }
    let number = match server.with_db(|db| db.commit_once(key, sum, writes, rows)) {
        KeyOutcome::Pending(number) => number,
        outcome => return Ok(outcome_reply(server, sum, outcome)),
    };
    // Injected bug: the server acknowledges an order that is stored on this server only.
    if seam::injected_bug("early-ack") {
        server.with_db(|db| db.commit = db.commit.max(number));
        return Ok(server.success(json!([["ok"]])));
    }
    let replicated = wait_until_replicated(server, number, fence).await;
    if server.faults.take_one(&server.faults.lose_answers) {
        return Err(ConnectionReset);
    }
    if !replicated {
        return Ok(server.failure("in-doubt", "the order is not on a second server"));
    }
    Ok(outcome_reply(server, sum, server.with_db(|db| db.outcome(key))))
}

fn outcome_reply(server: &StandIn, sum: &str, outcome: KeyOutcome) -> Value {
    match outcome {
        KeyOutcome::Committed { sum: committed, .. } if committed != sum => {
            server.failure("try-reused", "the idempotency key was committed with other content")
        }
        KeyOutcome::Committed { rows, .. } => server.success(rows),
        KeyOutcome::Sealed => server.failure("try-sealed", "the idempotency key was sealed"),
        KeyOutcome::Pending(_) | KeyOutcome::NotCommitted => server.failure("in-doubt", "not known yet"),
    }
}

/// Waits until a second server has stored the record with that number, written under the fence. Returns false if the
/// wait timed out or this server is no longer primary under the fence.
async fn wait_until_replicated(server: &StandIn, number: u64, fence: FencingToken) -> bool {
    let deadline = now() + COMMIT_TIMEOUT;
    loop {
        let changed = server.log_changed.notified();
        let (is_committed, is_current) = server
            .with_db(|db| (db.commit >= number, db.is_primary_under(fence) && db.wrote_under(number, fence)));
        if !is_current || now() >= deadline {
            return is_current && is_committed;
        }
        if is_committed {
            return true;
        }
        let _ = seam::timeout(COMMIT_POLL, changed).await;
    }
}

/// Answers the outcome of an idempotency key. With `seal`, a key that is not in the log is sealed, so that it can never
/// be committed.
pub(super) async fn query_outcome(server: &StandIn, body: &Value) -> Result<Value, ConnectionReset> {
    let (key, fence) = (str_field(body, "try"), u64_field(body, "fence"));
    let seals = body.get("seal").and_then(Value::as_bool).unwrap_or(false);
    if let Err(reply) = check_primary(server, fence) {
        return Ok(reply);
    }
    server.faults.storage_delay().await;
    let mut outcome = server.with_db(|db| db.outcome(key));
    if outcome == KeyOutcome::NotCommitted && seals {
        let number = server.with_db(|db| db.is_primary_under(fence).then(|| db.add_seal(key)));
        if let Some(number) = number {
            wait_until_replicated(server, number, fence).await;
        }
        outcome = server.with_db(|db| db.outcome(key));
    }
    let (word, rows) = match outcome {
        KeyOutcome::Committed { rows, .. } => ("kept", rows),
        KeyOutcome::Sealed => ("sealed", json!([])),
        KeyOutcome::Pending(_) => ("running", json!([])),
        KeyOutcome::NotCommitted => ("not-kept", json!([])),
    };
    if let Err(reply) = check_primary(server, fence) {
        return Ok(reply);
    }
    Ok(json!({"stamp": server.stamp(), "rows": rows, "outcome": word}))
}
