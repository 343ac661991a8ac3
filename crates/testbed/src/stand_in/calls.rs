//! A stand-in's implementation of the server contract's calls (docs/server.md).
use super::commits::{commit_order, query_outcome};
use super::http_server::ConnectionReset;
use super::journal::{JournalEntry, request_id};
use super::{StandIn, lab_calls, replication};
use crate::statement::{self, ConnectionState, OpenTransaction, StatementResult};
use quincehatch_core::{FencingToken, Name};
use quincehatch_runtime::seam;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::{Mutex, Notify};

/// Number of the next transaction of this process; the boot number forms the upper bits of a transaction id.
static NEXT_TRANSACTION: AtomicU64 = AtomicU64::new(1);
const BOOT_NUMBER_SHIFT: u32 = 20;
/// Delay of the reply to a rollback under the `mute` fault.
const MUTED_ROLLBACK_DELAY: Duration = Duration::from_secs(2);

/// Returns a numeric field of a request; 0 if it is missing.
pub(super) fn u64_field(body: &Value, key: &str) -> u64 {
    body.get(key).and_then(Value::as_u64).unwrap_or(0)
}

/// Returns a text field of a request; empty if it is missing.
pub(super) fn str_field<'body>(body: &'body Value, key: &str) -> &'body str {
    body.get(key).and_then(Value::as_str).unwrap_or_default()
}

/// Answers a call and journals each success of a statement, transaction or outcome call with the id of its request.
pub async fn answer_call(
    server: &StandIn,
    connection: &Mutex<ConnectionState>,
    path: &str,
    body: Value,
) -> Result<Value, ConnectionReset> {
    let id = request_id(&body);
    let reply = dispatch(server, connection, path, body).await?;
    let is_journalled =
        matches!(path, "/v1/begin" | "/v1/run" | "/v1/commit" | "/v1/rollback" | "/v1/outcome");
    if is_journalled && let (Some(stamp), Some(rows)) = (reply.get("stamp"), reply.get("rows")) {
        server.journal.record(JournalEntry::Said { id, stamp: stamp.clone(), rows: rows.clone() });
    }
    Ok(reply)
}

async fn dispatch(
    server: &StandIn,
    connection: &Mutex<ConnectionState>,
    path: &str,
    body: Value,
) -> Result<Value, ConnectionReset> {
    match path {
        "/v1/status" => Ok(heartbeat_reply(server)),
        "/v1/pull" => match serde_json::from_value(body) {
            Ok(request) => Ok(replication::serve_pull(server, request).await),
            Err(error) => Ok(server.failure("malformed", error)),
        },
        "/v1/cancel" => Ok(cancel(server, &body)),
        "/v1/fence" => {
            let accepted = server.with_db(|db| db.set_fence(u64_field(&body, "fence")));
            Ok(if accepted { heartbeat_reply(server) } else { server.failure("fence-low", "") })
        }
        "/v1/promote" => Ok(promote(server, &body)),
        "/v1/outcome" => query_outcome(server, &body).await,
        path if path.starts_with("/lab/") => Ok(lab_calls::answer_lab_call(server, path, body)),
        _ => connection_call(server, &mut *connection.lock().await, path, &body).await,
    }
}

fn heartbeat_reply(server: &StandIn) -> Value {
    let heartbeat = server.heartbeat();
    json!({"stamp": server.stamp(), "rows": [], "beat": heartbeat})
}

/// Cancels the running `sleep` statement of a connection.
fn cancel(server: &StandIn, body: &Value) -> Value {
    let running = server.running_statements.lock().unwrap().get(str_field(body, "link")).cloned();
    if let Some(running) = running {
        running.notify_one();
    }
    server.success(json!([]))
}

fn promote(server: &StandIn, body: &Value) -> Value {
    let voters = body["counts"].as_array().into_iter().flatten().filter_map(Value::as_str);
    let voters: Vec<Name> = voters.map(Name::from).collect();
    let accepted = server.with_db(|db| db.promote(u64_field(body, "fence"), voters));
    if accepted { server.success(json!([])) } else { server.failure("fence-low", "") }
}

/// Returns an error reply if this server is not primary under the request's fence.
pub(super) fn check_primary(server: &StandIn, fence: FencingToken) -> Result<(), Value> {
    let (is_primary, own) = server.with_db(|db| (db.is_primary_under(fence), db.fence));
    if is_primary {
        Ok(())
    } else if fence < own {
        Err(server.failure("fence-low", format_args!("{fence} is under {own}")))
    } else {
        Err(server.failure("not-primary", "this server is not primary under that fence"))
    }
}

async fn connection_call(
    server: &StandIn,
    connection: &mut ConnectionState,
    path: &str,
    body: &Value,
) -> Result<Value, ConnectionReset> {
    match path {
        "/v1/begin" => Ok(begin(server, connection, body)),
        "/v1/run" => run_call(server, connection, body).await,
        "/v1/set" => Ok(set(server, connection, body)),
        "/v1/prepare" => Ok(prepare(server, connection, body)),
        "/v1/reset" => {
            *connection = ConnectionState::default();
            Ok(server.success(json!([])))
        }
        "/v1/commit" => match connection.transaction.take() {
            Some(open) => commit_order(server, body, open.writes, open.last_rows).await,
            None => Ok(server.failure("statement", "no transaction is open")),
        },
        "/v1/rollback" => rollback(server, connection).await,
        _ => Ok(server.failure("no-such-call", path)),
    }
}

fn begin(server: &StandIn, connection: &mut ConnectionState, body: &Value) -> Value {
    server.check_drain_limit();
    if let Err(reply) = check_primary(server, u64_field(body, "fence")) {
        return reply;
    }
    let id = NEXT_TRANSACTION.fetch_add(1, Ordering::Relaxed) + (server.boot() << BOOT_NUMBER_SHIFT);
    connection.transaction = Some(OpenTransaction { id, ..Default::default() });
    server.success(json!([["begun", id]]))
}

fn set(server: &StandIn, connection: &mut ConnectionState, body: &Value) -> Value {
    let text = str_field(body, "text");
    server.journal.record(JournalEntry::Wore { link: str_field(body, "link").into(), text: text.into() });
    match statement::set_setting(connection, text) {
        Ok(()) => server.success(json!([])),
        Err(reason) => server.failure("statement", reason),
    }
}

fn prepare(server: &StandIn, connection: &mut ConnectionState, body: &Value) -> Value {
    let (name, text) = (str_field(body, "name"), str_field(body, "text"));
    let entry = JournalEntry::Wore { link: str_field(body, "link").into(), text: format!("{name}={text}") };
    server.journal.record(entry);
    connection.prepared.insert(name.into(), text.into());
    server.success(json!([]))
}

async fn rollback(server: &StandIn, connection: &mut ConnectionState) -> Result<Value, ConnectionReset> {
    let id = connection.transaction.take().map(|open| open.id);
    let faults = &server.faults;
    if faults.take_one(&faults.lose_answers) {
        return Err(ConnectionReset);
    }
    if faults.take_one(&faults.mute) {
        seam::sleep(MUTED_ROLLBACK_DELAY).await;
    }
    if faults.take_one(&faults.forge) {
        return Ok(json!({"rows": [["rolled back"]]}));
    }
    Ok(server.success(json!([["rolled back", id]])))
}

/// Runs a statement: a one-step order if the request has an idempotency key, otherwise a read or a step of a
/// transaction.
async fn run_call(
    server: &StandIn,
    connection: &mut ConnectionState,
    body: &Value,
) -> Result<Value, ConnectionReset> {
    let is_order = body.get("try").is_some();
    if connection.transaction.is_none() {
        server.check_drain_limit();
    }
    if is_order && let Err(reply) = check_primary(server, u64_field(body, "fence")) {
        return Ok(reply);
    }
    if !is_order && !server.with_db(|db| db.is_readable()) {
        server.rejected_reads.fetch_add(1, Ordering::SeqCst);
        return Ok(server.failure("starting", "not all that was committed is visible yet"));
    }
    server.faults.storage_delay().await;
    let ran = match execute(server, connection, body).await {
        Ok(ran) => ran,
        Err(reason) => return Ok(server.failure("statement", reason)),
    };
    if is_order {
        return commit_order(server, body, ran.writes, ran.rows).await;
    }
    if let Some(open) = connection.transaction.as_mut() {
        open.writes.extend(ran.writes);
        open.last_rows = ran.rows.clone();
    } else if !ran.writes.is_empty() {
        return Ok(server.failure("statement", "a write needs a transaction or an idempotency key"));
    }
    if server.faults.take_one(&server.faults.forge) {
        return Ok(json!({"rows": ran.rows}));
    }
    Ok(server.success(ran.rows))
}

/// Executes a statement against the committed data and waits for its duration unless it is cancelled.
async fn execute(
    server: &StandIn,
    connection: &ConnectionState,
    body: &Value,
) -> Result<StatementResult, String> {
    let link = Name::from(str_field(body, "link"));
    let text = str_field(body, "text");
    let params = body.get("params").cloned().unwrap_or(Value::Null);
    server.journal.record(JournalEntry::Ran {
        link: link.clone(),
        txn: connection.transaction.as_ref().map_or(0, |open| open.id),
        text: text.into(),
        params: params.clone(),
    });
    let ran = {
        let db = server.db.lock().unwrap();
        statement::run_statement(connection, &db.values, text, &params)?
    };
    if ran.sleep_ms > 0 {
        let cancelled = Arc::new(Notify::new());
        server.running_statements.lock().unwrap().insert(link.clone(), cancelled.clone());
        let sleep = seam::sleep(Duration::from_millis(ran.sleep_ms));
        let end = seam::select_first(sleep, cancelled.notified()).await;
        server.running_statements.lock().unwrap().remove(&link);
        if end.is_err() {
            return Err("it was cancelled".into());
        }
    }
    Ok(ran)
}
