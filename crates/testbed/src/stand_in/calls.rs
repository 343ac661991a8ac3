//! The calls of the server contract, as a stand-in answers them (docs/server.md).
use super::commits::{commit_order, query_outcome};
use super::http_server::ConnectionReset;
use super::journal::{JournalEntry, request_id};
use super::{StandIn, replication};
use crate::statement::{self, ConnectionState, OpenTransaction};
use quincehatch_core::FencingToken;
use quincehatch_runtime::seam;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Mutex, Notify};

static NEXT_TRANSACTION: AtomicU64 = AtomicU64::new(1);

pub(super) fn u64_field(b: &Value, k: &str) -> u64 {
    b.get(k).and_then(Value::as_u64).unwrap_or(0)
}
pub(super) fn str_field<'a>(b: &'a Value, k: &str) -> &'a str {
    b.get(k).and_then(Value::as_str).unwrap_or_default()
}

/// Answers a call; each success of a link's own call is journalled with what it was for.
pub async fn answer_call(
    s: &StandIn,
    ctx: &Mutex<ConnectionState>,
    path: &str,
    b: Value,
) -> Result<Value, ConnectionReset> {
    let id = request_id(&b);
    let v = dispatch(s, ctx, path, b).await?;
    if matches!(path, "/v1/begin" | "/v1/run" | "/v1/commit" | "/v1/rollback" | "/v1/outcome")
        && let (Some(stamp), Some(rows)) = (v.get("stamp"), v.get("rows"))
    {
        s.journal.record(JournalEntry::Said { id, stamp: stamp.clone(), rows: rows.clone() });
    }
    Ok(v)
}

async fn dispatch(
    s: &StandIn,
    ctx: &Mutex<ConnectionState>,
    path: &str,
    b: Value,
) -> Result<Value, ConnectionReset> {
    match path {
        "/v1/status" => {
            let beat = s.heartbeat();
            Ok(json!({"stamp": s.stamp(), "rows": [], "beat": beat}))
        }
        "/v1/pull" => match serde_json::from_value(b) {
            Ok(p) => Ok(replication::serve_pull(s, p).await),
            Err(e) => Ok(s.failure("malformed", e)),
        },
        "/v1/cancel" => {
            let running = s.running_statements.lock().unwrap().get(str_field(&b, "link")).cloned();
            running.into_iter().for_each(|r| r.notify_one());
            Ok(s.success(json!([])))
        }
        "/v1/fence" => {
            let ok = s.with_db(|d| d.set_fence(u64_field(&b, "fence")));
            let beat = s.heartbeat();
            Ok(if ok {
                json!({"stamp": s.stamp(), "rows": [], "beat": beat})
            } else {
                s.failure("fence-low", "")
            })
        }
        "/v1/promote" => {
            let counts =
                b["counts"].as_array().into_iter().flatten().filter_map(|n| n.as_str().map(Into::into));
            let counts: Vec<quincehatch_core::Name> = counts.collect();
            let ok = s.with_db(|d| d.promote(u64_field(&b, "fence"), counts));
            Ok(if ok { s.success(json!([])) } else { s.failure("fence-low", "") })
        }
        "/v1/outcome" => query_outcome(s, &b).await,
        p if p.starts_with("/lab/") => Ok(super::lab_calls::answer_lab_call(s, p, b)),
        _ => connection_call(s, &mut *ctx.lock().await, path, b).await,
    }
}

pub(super) fn check_primary(s: &StandIn, f: FencingToken) -> Result<(), Value> {
    let (leads, own) = s.with_db(|d| (d.is_primary_under(f), d.fence));
    match (leads, f < own) {
        (true, _) => Ok(()),
        (_, true) => Err(s.failure("fence-low", format_args!("{f} is under {own}"))),
        _ => Err(s.failure("not-primary", "this server does not lead under that fence")),
    }
}

async fn connection_call(
    s: &StandIn,
    c: &mut ConnectionState,
    path: &str,
    b: Value,
) -> Result<Value, ConnectionReset> {
    match path {
        "/v1/begin" => {
            s.check_drain_limit();
            if let Err(v) = check_primary(s, u64_field(&b, "fence")) {
                return Ok(v);
            }
            let id = NEXT_TRANSACTION.fetch_add(1, Ordering::Relaxed) + (s.boot() << 20);
            c.transaction = Some(OpenTransaction { id, ..Default::default() });
            Ok(s.success(json!([["begun", id]])))
        }
        "/v1/run" => run_call(s, c, &b).await,
        "/v1/set" => {
            s.journal.record(JournalEntry::Wore {
                link: str_field(&b, "link").into(),
                text: str_field(&b, "text").into(),
            });
            Ok(statement::set_setting(c, str_field(&b, "text"))
                .map_or_else(|e| s.failure("statement", e), |()| s.success(json!([]))))
        }
        "/v1/prepare" => {
            let text = format!("{}={}", str_field(&b, "name"), str_field(&b, "text"));
            s.journal.record(JournalEntry::Wore { link: str_field(&b, "link").into(), text });
            c.prepared.insert(str_field(&b, "name").into(), str_field(&b, "text").into());
            Ok(s.success(json!([])))
        }
        "/v1/reset" => {
            *c = ConnectionState::default();
            Ok(s.success(json!([])))
        }
        "/v1/commit" => {
            let Some(t) = c.transaction.take() else {
                return Ok(s.failure("statement", "no transaction is open"));
            };
            commit_order(s, &b, t.writes, t.last_rows).await
        }
        "/v1/rollback" => {
            let id = c.transaction.take().map(|t| t.id);
            if s.faults.take_one(&s.faults.lose_answers) {
                return Err(ConnectionReset);
            }
            if s.faults.take_one(&s.faults.mute) {
                seam::sleep(Duration::from_secs(2)).await;
            }
            if s.faults.take_one(&s.faults.forge) {
                return Ok(json!({"rows": [["rolled back"]]}));
            }
            Ok(s.success(json!([["rolled back", id]])))
        }
        _ => Ok(s.failure("no-such-call", path)),
    }
}

async fn run_call(s: &StandIn, c: &mut ConnectionState, b: &Value) -> Result<Value, ConnectionReset> {
    let order = b.get("try").is_some();
    if c.transaction.is_none() {
        s.check_drain_limit();
    }
    if order && let Err(v) = check_primary(s, u64_field(b, "fence")) {
        return Ok(v);
    }
    if !order && !s.with_db(|d| d.is_readable()) {
        s.rejected_reads.fetch_add(1, Ordering::SeqCst);
        return Ok(s.failure("starting", "not all that was kept is visible yet"));
    }
    s.faults.storage_delay().await;
    let (text, params) = (str_field(b, "text"), b.get("params").cloned().unwrap_or(Value::Null));
    s.journal.record(JournalEntry::Ran {
        link: str_field(b, "link").into(),
        txn: c.transaction.as_ref().map_or(0, |t| t.id),
        text: text.into(),
        params: params.clone(),
    });
    let got = {
        let db = s.db.lock().unwrap();
        statement::run_statement(c, &db.values, text, &params)
    };
    let ran = match got {
        Ok(r) => r,
        Err(e) => return Ok(s.failure("statement", e)),
    };
    if ran.sleep_ms > 0 {
        let (link, stop) = (quincehatch_core::Name::from(str_field(b, "link")), Arc::new(Notify::new()));
        s.running_statements.lock().unwrap().insert(link.clone(), stop.clone());
        let over =
            seam::select_first(seam::sleep(Duration::from_millis(ran.sleep_ms)), stop.notified()).await;
        s.running_statements.lock().unwrap().remove(&link);
        if over.is_err() {
            return Ok(s.failure("statement", "it was cancelled"));
        }
    }
    if order {
        return commit_order(s, b, ran.writes, ran.rows).await;
    }
    if let Some(t) = c.transaction.as_mut() {
        t.writes.extend(ran.writes);
        t.last_rows = ran.rows.clone();
    } else if !ran.writes.is_empty() {
        return Ok(s.failure("statement", "a write needs a transaction or a try"));
    }
    if s.faults.take_one(&s.faults.forge) {
        return Ok(json!({"rows": ran.rows}));
    }
    Ok(s.success(ran.rows))
}
