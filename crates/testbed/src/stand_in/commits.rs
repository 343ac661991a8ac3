//! Commits, tries and seals of a stand-in (docs/server.md).
use super::StandIn;
use super::calls::{check_primary, str_field, u64_field};
use super::http_server::ConnectionReset;
use crate::database::KeyOutcome;
use quincehatch_core::FencingToken;
use quincehatch_runtime::{now, seam};
use serde_json::{Value, json};
use std::time::Duration;

/// Longest a commit waits for a second server before the caller is told that it is in doubt.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Keeps an order under its try key, once, and answers when two servers hold it.
pub(super) async fn commit_order(
    s: &StandIn,
    b: &Value,
    writes: Vec<crate::database::Write>,
    rows: Value,
) -> Result<Value, ConnectionReset> {
    let (key, sum, f) = (str_field(b, "try"), str_field(b, "sum"), u64_field(b, "fence"));
    s.faults.storage_delay().await;
    if let Err(v) = check_primary(s, f) {
        return Ok(v);
    }
    let n = match s.with_db(|d| match d.outcome(key) {
        KeyOutcome::NotCommitted => Ok(d.add_commit(key, sum, writes, rows)),
        o => Err(o),
    }) {
        Ok(n) | Err(KeyOutcome::Pending(n)) => n,
        Err(o) => return Ok(outcome_reply(s, sum, o)),
    };
    // The lab's own bug: a server that acknowledges what it alone holds.
    if seam::injected_bug("early-ack") {
        s.with_db(|d| d.commit = d.commit.max(n));
        return Ok(s.success(json!([["ok"]])));
    }
    let sure = wait_until_replicated(s, n, f).await;
    if s.faults.take_one(&s.faults.lose_answers) {
        return Err(ConnectionReset);
    }
    if !sure {
        return Ok(s.failure("in-doubt", "the order is not on a second server"));
    }
    Ok(outcome_reply(s, sum, s.with_db(|d| d.outcome(key))))
}

fn outcome_reply(s: &StandIn, sum: &str, o: KeyOutcome) -> Value {
    match o {
        KeyOutcome::Committed { sum: had, .. } if had != sum => {
            s.failure("try-reused", "the try was kept with other content")
        }
        KeyOutcome::Committed { rows, .. } => s.success(rows),
        KeyOutcome::Sealed => s.failure("try-sealed", "the try was sealed"),
        KeyOutcome::Pending(_) | KeyOutcome::NotCommitted => s.failure("in-doubt", "not known yet"),
    }
}

/// Waits until record `n`, written under `f`, is on a second server.
async fn wait_until_replicated(s: &StandIn, n: u64, f: FencingToken) -> bool {
    let until = now() + COMMIT_TIMEOUT.as_millis() as u64;
    loop {
        let moved = s.log_changed.notified();
        let (done, still) = s.with_db(|d| (d.commit >= n, d.is_primary_under(f) && d.wrote_under(n, f)));
        if done && still {
            return true;
        }
        if !still || now() >= until {
            return false;
        }
        let _ = seam::timeout(Duration::from_millis(100), moved).await;
    }
}

pub(super) async fn query_outcome(s: &StandIn, b: &Value) -> Result<Value, ConnectionReset> {
    let (key, f) = (str_field(b, "try"), u64_field(b, "fence"));
    let seal = b.get("seal").and_then(Value::as_bool).unwrap_or(false);
    if let Err(v) = check_primary(s, f) {
        return Ok(v);
    }
    s.faults.storage_delay().await;
    let mut o = s.with_db(|d| d.outcome(key));
    if o == KeyOutcome::NotCommitted && seal {
        let n = s.with_db(|d| if d.is_primary_under(f) { Some(d.add_seal(key)) } else { None });
        if let Some(n) = n {
            wait_until_replicated(s, n, f).await;
        }
        o = s.with_db(|d| d.outcome(key));
    }
    let (word, rows) = match o {
        KeyOutcome::Committed { rows, .. } => ("kept", rows),
        KeyOutcome::Sealed => ("sealed", json!([])),
        KeyOutcome::Pending(_) => ("running", json!([])),
        KeyOutcome::NotCommitted => ("not-kept", json!([])),
    };
    if let Err(v) = check_primary(s, f) {
        return Ok(v);
    }
    Ok(json!({"stamp": s.stamp(), "rows": rows, "outcome": word}))
}
