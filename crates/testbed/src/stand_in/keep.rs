//! Commits, tries and seals of a stand-in (docs/server.md).
use super::StandIn;
use super::calls::{leads, num, str_field};
use super::net::Cut;
use crate::db::Outcome;
use quincehatch_core::FencingToken;
use quincehatch_runtime::{now, seam};
use serde_json::{Value, json};
use std::time::Duration;

/// Longest a commit waits for a second server before the caller is told that it is in doubt.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Keeps an order under its try key, once, and answers when two servers hold it.
pub(super) async fn keep(
    s: &StandIn,
    b: &Value,
    writes: Vec<crate::db::Write>,
    rows: Value,
) -> Result<Value, Cut> {
    let (key, sum, f) = (str_field(b, "try"), str_field(b, "sum"), num(b, "fence"));
    s.faults.storage_delay().await;
    if let Err(v) = leads(s, f) {
        return Ok(v);
    }
    let n = match s.with(|d| match d.outcome(key) {
        Outcome::NotCommitted => Ok(d.add_commit(key, sum, writes, rows)),
        o => Err(o),
    }) {
        Ok(n) | Err(Outcome::Running(n)) => n,
        Err(o) => return Ok(told(s, sum, o)),
    };
    // The lab's own bug: a server that acknowledges what it alone holds.
    if seam::injected_bug("early-ack") {
        s.with(|d| d.commit = d.commit.max(n));
        return Ok(s.good(json!([["ok"]])));
    }
    let sure = wait(s, n, f).await;
    if s.faults.one(&s.faults.lose) {
        return Err(Cut);
    }
    if !sure {
        return Ok(s.bad("in-doubt", "the order is not on a second server"));
    }
    Ok(told(s, sum, s.with(|d| d.outcome(key))))
}

fn told(s: &StandIn, sum: &str, o: Outcome) -> Value {
    match o {
        Outcome::Kept { sum: had, .. } if had != sum => {
            s.bad("try-reused", "the try was kept with other content")
        }
        Outcome::Kept { rows, .. } => s.good(rows),
        Outcome::Sealed => s.bad("try-sealed", "the try was sealed"),
        Outcome::Running(_) | Outcome::NotCommitted => s.bad("in-doubt", "not known yet"),
    }
}

/// Waits until record `n`, written under `f`, is on a second server.
async fn wait(s: &StandIn, n: u64, f: FencingToken) -> bool {
    let until = now() + COMMIT_TIMEOUT.as_millis() as u64;
    loop {
        let moved = s.moved.notified();
        let (done, still) = s.with(|d| (d.commit >= n, d.leads(f) && d.still(n, f)));
        if done && still {
            return true;
        }
        if !still || now() >= until {
            return false;
        }
        let _ = seam::timeout(Duration::from_millis(100), moved).await;
    }
}

pub(super) async fn outcome(s: &StandIn, b: &Value) -> Result<Value, Cut> {
    let (key, f) = (str_field(b, "try"), num(b, "fence"));
    let seal = b.get("seal").and_then(Value::as_bool).unwrap_or(false);
    if let Err(v) = leads(s, f) {
        return Ok(v);
    }
    s.faults.storage_delay().await;
    let mut o = s.with(|d| d.outcome(key));
    if o == Outcome::NotCommitted && seal {
        let n = s.with(|d| if d.leads(f) { Some(d.add_seal(key)) } else { None });
        if let Some(n) = n {
            wait(s, n, f).await;
        }
        o = s.with(|d| d.outcome(key));
    }
    let (word, rows) = match o {
        Outcome::Kept { rows, .. } => ("kept", rows),
        Outcome::Sealed => ("sealed", json!([])),
        Outcome::Running(_) => ("running", json!([])),
        Outcome::NotCommitted => ("not-kept", json!([])),
    };
    if let Err(v) = leads(s, f) {
        return Ok(v);
    }
    Ok(json!({"stamp": s.stamp(), "rows": rows, "outcome": word}))
}
