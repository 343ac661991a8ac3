//! The calls of the server contract, as a stand-in answers them (docs/server.md).
use super::journal::{Entry, request_id};
use super::keep::{keep, outcome};
use super::net::Cut;
use super::{StandIn, repl};
use crate::stmt::{self, ConnectionState, Txn};
use quincehatch_core::FencingToken;
use quincehatch_runtime::seam;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Mutex, Notify};

static NEXT_TRANSACTION: AtomicU64 = AtomicU64::new(1);

pub(super) fn num(b: &Value, k: &str) -> u64 {
    b.get(k).and_then(Value::as_u64).unwrap_or(0)
}
pub(super) fn str_field<'a>(b: &'a Value, k: &str) -> &'a str {
    b.get(k).and_then(Value::as_str).unwrap_or_default()
}

/// Answers a call; each success of a link's own call is journalled with what it was for.
pub async fn answer(s: &StandIn, ctx: &Mutex<ConnectionState>, path: &str, b: Value) -> Result<Value, Cut> {
    let id = request_id(&b);
    let v = dispatch(s, ctx, path, b).await?;
    if matches!(path, "/v1/begin" | "/v1/run" | "/v1/commit" | "/v1/rollback" | "/v1/outcome")
        && let (Some(stamp), Some(rows)) = (v.get("stamp"), v.get("rows"))
    {
        s.journal.note(Entry::Said { id, stamp: stamp.clone(), rows: rows.clone() });
    }
    Ok(v)
}

async fn dispatch(s: &StandIn, ctx: &Mutex<ConnectionState>, path: &str, b: Value) -> Result<Value, Cut> {
    match path {
        "/v1/status" => {
            let beat = s.beat();
            Ok(json!({"stamp": s.stamp(), "rows": [], "beat": beat}))
        }
        "/v1/pull" => match serde_json::from_value(b) {
            Ok(p) => Ok(repl::serve_pull(s, p).await),
            Err(e) => Ok(s.bad("malformed", e)),
        },
        "/v1/cancel" => {
            let running = s.running_statements.lock().unwrap().get(str_field(&b, "link")).cloned();
            running.into_iter().for_each(|r| r.notify_one());
            Ok(s.good(json!([])))
        }
        "/v1/fence" => {
            let ok = s.with(|d| d.set_fence(num(&b, "fence")));
            let beat = s.beat();
            Ok(if ok {
                json!({"stamp": s.stamp(), "rows": [], "beat": beat})
            } else {
                s.bad("fence-low", "")
            })
        }
        "/v1/promote" => {
            let counts =
                b["counts"].as_array().into_iter().flatten().filter_map(|n| n.as_str().map(Into::into));
            let counts: Vec<quincehatch_core::Name> = counts.collect();
            let ok = s.with(|d| d.promote(num(&b, "fence"), counts));
            Ok(if ok { s.good(json!([])) } else { s.bad("fence-low", "") })
        }
        "/v1/outcome" => outcome(s, &b).await,
        p if p.starts_with("/lab/") => Ok(super::lab::answer(s, p, b)),
        _ => statement(s, &mut *ctx.lock().await, path, b).await,
    }
}

pub(super) fn leads(s: &StandIn, f: FencingToken) -> Result<(), Value> {
    let (leads, own) = s.with(|d| (d.leads(f), d.fence));
    match (leads, f < own) {
        (true, _) => Ok(()),
        (_, true) => Err(s.bad("fence-low", format_args!("{f} is under {own}"))),
        _ => Err(s.bad("not-primary", "this server does not lead under that fence")),
    }
}

async fn statement(s: &StandIn, c: &mut ConnectionState, path: &str, b: Value) -> Result<Value, Cut> {
    match path {
        "/v1/begin" => {
            s.check_drain_limit();
            if let Err(v) = leads(s, num(&b, "fence")) {
                return Ok(v);
            }
            let id = NEXT_TRANSACTION.fetch_add(1, Ordering::Relaxed) + (s.boot() << 20);
            c.txn = Some(Txn { id, ..Default::default() });
            Ok(s.good(json!([["begun", id]])))
        }
        "/v1/run" => run(s, c, &b).await,
        "/v1/set" => {
            s.journal
                .note(Entry::Wore { link: str_field(&b, "link").into(), text: str_field(&b, "text").into() });
            Ok(stmt::set(c, str_field(&b, "text"))
                .map_or_else(|e| s.bad("statement", e), |()| s.good(json!([]))))
        }
        "/v1/prepare" => {
            let text = format!("{}={}", str_field(&b, "name"), str_field(&b, "text"));
            s.journal.note(Entry::Wore { link: str_field(&b, "link").into(), text });
            c.prepared.insert(str_field(&b, "name").into(), str_field(&b, "text").into());
            Ok(s.good(json!([])))
        }
        "/v1/reset" => {
            *c = ConnectionState::default();
            Ok(s.good(json!([])))
        }
        "/v1/commit" => {
            let Some(t) = c.txn.take() else { return Ok(s.bad("statement", "no transaction is open")) };
            keep(s, &b, t.writes, t.last).await
        }
        "/v1/rollback" => {
            let id = c.txn.take().map(|t| t.id);
            if s.faults.one(&s.faults.lose) {
                return Err(Cut);
            }
            if s.faults.one(&s.faults.mute) {
                seam::sleep(Duration::from_secs(2)).await;
            }
            if s.faults.one(&s.faults.forge) {
                return Ok(json!({"rows": [["rolled back"]]}));
            }
            Ok(s.good(json!([["rolled back", id]])))
        }
        _ => Ok(s.bad("no-such-call", path)),
    }
}

async fn run(s: &StandIn, c: &mut ConnectionState, b: &Value) -> Result<Value, Cut> {
    let order = b.get("try").is_some();
    if c.txn.is_none() {
        s.check_drain_limit();
    }
    if order && let Err(v) = leads(s, num(b, "fence")) {
        return Ok(v);
    }
    if !order && !s.with(|d| d.whole()) {
        s.declined.fetch_add(1, Ordering::SeqCst);
        return Ok(s.bad("starting", "not all that was kept is visible yet"));
    }
    s.faults.storage_delay().await;
    let (text, params) = (str_field(b, "text"), b.get("params").cloned().unwrap_or(Value::Null));
    s.journal.note(Entry::Ran {
        link: str_field(b, "link").into(),
        txn: c.txn.as_ref().map_or(0, |t| t.id),
        text: text.into(),
        params: params.clone(),
    });
    let got = {
        let db = s.db.lock().unwrap();
        stmt::run(c, &db.kv, text, &params)
    };
    let ran = match got {
        Ok(r) => r,
        Err(e) => return Ok(s.bad("statement", e)),
    };
    if ran.sleep_ms > 0 {
        let (link, stop) = (quincehatch_core::Name::from(str_field(b, "link")), Arc::new(Notify::new()));
        s.running_statements.lock().unwrap().insert(link.clone(), stop.clone());
        let over =
            seam::select_first(seam::sleep(Duration::from_millis(ran.sleep_ms)), stop.notified()).await;
        s.running_statements.lock().unwrap().remove(&link);
        if over.is_err() {
            return Ok(s.bad("statement", "it was cancelled"));
        }
    }
    if order {
        return keep(s, b, ran.writes, ran.rows).await;
    }
    if let Some(t) = c.txn.as_mut() {
        t.writes.extend(ran.writes);
        t.last = ran.rows.clone();
    } else if !ran.writes.is_empty() {
        return Ok(s.bad("statement", "a write needs a transaction or a try"));
    }
    if s.faults.one(&s.faults.forge) {
        return Ok(json!({"rows": ran.rows}));
    }
    Ok(s.good(ran.rows))
}
