//! Operations of a caller: orders in one step or several, outcome queries for orders in doubt, and lookups.
use crate::caller::{Caller, ORDER_MS, Session};
use crate::history::{CallEnd, ReadRecord};
use crate::reply::{Reply, call_end};
use quincehatch_core::{ErrorCode, Millis};
use quincehatch_runtime::{now, seam};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Drawn numbers below this, out of [`ORDER_KINDS`], select an order of several steps.
const STEPPED_ORDERS: u64 = 3;
const ORDER_KINDS: u64 = 10;
/// Shares of orders that are sent again: of those not applied, and of committed one-step orders.
const RESENT_NOT_APPLIED_PER_MILLE: u64 = 500;
const RESENT_COMMITTED_PER_MILLE: u64 = 30;
/// Number of outcome queries for an order in doubt, and the pause before each.
const RESOLUTIONS: usize = 60;
const RESOLUTION_PAUSE: Duration = Duration::from_millis(200);
/// Upper bound of the pause between the steps of an order, in milliseconds.
const STEP_PAUSE_SPREAD: u64 = 40;
/// Shares of lookups that go to the primary, and that are sent on a session.
const PRIMARY_READS_PER_MILLE: u64 = 250;
const SESSION_READS_PER_MILLE: u64 = 300;

/// A statement, and the rows that it must return if it reads the session's state.
struct SessionStatement {
    text: String,
    params: Value,
    expected_rows: Option<Value>,
}

impl Caller {
    /// Sends one order in one step or several; if it is in doubt, its outcome is queried until it is known.
    pub async fn place_order(&mut self) {
        self.order_count += 1;
        let key = format!("{}-{}", self.caller_mark(), self.order_count);
        let kind = self.rng.below(ORDER_KINDS);
        let began = now();
        let mut end = self.send_order(&key, kind).await;
        self.record_served("order", began, end == CallEnd::Committed, 0);
        let is_single = kind >= STEPPED_ORDERS;
        let resend = (end == CallEnd::NotApplied && self.rng.chance(RESENT_NOT_APPLIED_PER_MILLE))
            || (end == CallEnd::Committed && is_single && self.rng.chance(RESENT_COMMITTED_PER_MILLE));
        if resend {
            end = self.send_order(&key, kind).await;
        }
        for _ in 0..RESOLUTIONS {
            let in_doubt = matches!(end, CallEnd::Unknown | CallEnd::NoReply);
            if !in_doubt || self.env.stop.load(Ordering::Relaxed) {
                break;
            }
            seam::sleep(RESOLUTION_PAUSE).await;
            end = self.resolve_outcome(&key).await;
        }
    }

    /// Sends an order; a repeated order has the same content.
    async fn send_order(&mut self, key: &str, kind: u64) -> CallEnd {
        if kind < STEPPED_ORDERS {
            self.order_in_steps(key, 1 + kind).await
        } else {
            self.order_in_one_step(key).await
        }
    }

    /// Queries the outcome of an order and seals its key if it is not committed.
    pub async fn resolve_outcome(&mut self, key: &str) -> CallEnd {
        let body = json!({"try": key, "labels": self.labels(), "seal": true, "deadline_ms": ORDER_MS});
        let asked = now();
        let reply = self.call("/v1/outcome", body, ORDER_MS).await;
        self.record_reply(key, asked, reply.as_ref())
    }

    async fn order_in_one_step(&mut self, key: &str) -> CallEnd {
        let text = format!("append {} $1", self.list());
        let mark = format!("{}#try{}", self.caller_mark(), self.order_count);
        let body = json!({"try": key, "text": text, "params": [key, mark], "labels": self.labels(),
            "deadline_ms": ORDER_MS});
        let asked = now();
        let reply = self.call("/v1/order", body, ORDER_MS).await;
        self.record_reply(key, asked, reply.as_ref())
    }

    async fn order_in_steps(&mut self, key: &str, steps: u64) -> CallEnd {
        let Some(session) = self.session().await else { return self.record_never_sent(key) };
        let Session { id, version } = &session;
        let begin =
            json!({"session": id, "version": version, "labels": self.labels(), "deadline_ms": ORDER_MS});
        let reply = self.call("/v1/begin", begin, ORDER_MS).await;
        if call_end(reply.as_ref()) != CallEnd::Committed {
            self.drop_lost_session(reply.as_ref());
            return self.record_never_sent(key);
        }
        for step in 0..=steps {
            let Some(statement) = self.draw_step(key, step, steps) else { break };
            let SessionStatement { text, params, expected_rows } = statement;
            let run = json!({"session": id, "version": version, "text": text, "params": params,
                "deadline_ms": ORDER_MS});
            let reply = self.call("/v1/run", run, ORDER_MS).await;
            self.check_session_state(&text, expected_rows.as_ref(), reply.as_ref());
            if call_end(reply.as_ref()) != CallEnd::Committed {
                self.drop_lost_session(reply.as_ref());
                return self.record_never_sent(key);
            }
            let pause = self.rng.below(STEP_PAUSE_SPREAD);
            seam::sleep(Duration::from_millis(pause)).await;
        }
        let asked = now();
        let commit = json!({"session": id, "version": version, "try": key, "deadline_ms": ORDER_MS});
        let reply = self.call("/v1/commit", commit, ORDER_MS).await;
        self.drop_lost_session(reply.as_ref());
        self.record_reply(key, asked, reply.as_ref())
    }

    /// Draws a step of an order; the last one may use the session's state, which applies within a transaction too.
    fn draw_step(&mut self, key: &str, step: u64, steps: u64) -> Option<SessionStatement> {
        let mark = self.next_mark();
        if step == 0 {
            let text = format!("append {} $1", self.list());
            return Some(SessionStatement { text, params: json!([key, mark]), expected_rows: None });
        }
        if step < steps {
            let text = "add total 1".into();
            return Some(SessionStatement { text, params: json!([mark]), expected_rows: None });
        }
        match self.rng.below(3) {
            0 => Some(self.show_tag(mark)),
            1 => Some(self.execute_prepared(json!(key), mark)),
            _ => None,
        }
    }

    fn show_tag(&self, mark: String) -> SessionStatement {
        let expected_rows = Some(json!([[self.caller_mark()]]));
        SessionStatement { text: "show tag".into(), params: json!([mark]), expected_rows }
    }

    fn execute_prepared(&self, argument: Value, mark: String) -> SessionStatement {
        let expected_rows = Some(json!([[self.caller_mark(), argument]]));
        SessionStatement { text: "exec mine".into(), params: json!([argument, mark]), expected_rows }
    }

    /// Records an order whose commit was never sent, which is therefore not applied.
    fn record_never_sent(&self, key: &str) -> CallEnd {
        let reply = Reply { status: 0, body: json!({"end": "nothing"}) };
        self.record_reply(key, now(), Some(&reply))
    }

    /// Drops a session that is lost, or whose state is unknown after a lost reply, so that a new one is opened.
    fn drop_lost_session(&mut self, reply: Option<&Reply>) {
        let lost = [ErrorCode::SessionUnknown, ErrorCode::SessionLost, ErrorCode::InTransaction];
        if reply.is_none_or(|reply| reply.has_code(&lost)) {
            self.session = None;
        }
    }

    /// Checks that the session's state was present on the server: other rows, or a server without the prepared
    /// statement, are a violation.
    fn check_session_state(&self, text: &str, expected_rows: Option<&Value>, reply: Option<&Reply>) {
        let (Some(expected), Some(reply)) = (expected_rows, reply) else { return };
        let answer = &reply.body;
        let has_other_rows = answer["end"] == "kept" && answer["rows"] != *expected;
        if has_other_rows || reply.has_code(&[ErrorCode::ServerRejected]) {
            let (node, server) = (&answer["where"]["node"], &answer["where"]["server"]);
            let (caller, rows) = (self.caller_mark(), &answer["rows"]);
            let violation =
                format!("N7 {caller} lost its session state: '{text}' on {server} by {node} came to {rows}");
            self.env.history.lock().unwrap().violations.push(violation);
        }
    }

    /// Sends a lookup of this caller's orders, to any server or to the primary only.
    pub async fn look_up(&mut self) {
        let order_side = self.rng.chance(PRIMARY_READS_PER_MILLE);
        let session = if self.rng.chance(SESSION_READS_PER_MILLE) { self.session().await } else { None };
        let deadline = if order_side { ORDER_MS } else { self.env.lookup_ms };
        let statement = self.draw_lookup(session.is_some());
        let mut body = json!({"text": statement.text, "params": statement.params,
            "labels": self.labels(), "deadline_ms": deadline, "order_side": order_side});
        if let Some(Session { id, version }) = &session {
            body["session"] = json!(id);
            body["version"] = json!(version);
        }
        let asked = now();
        let reply = self.call("/v1/lookup", body, deadline).await;
        let succeeded = call_end(reply.as_ref()) == CallEnd::Committed;
        self.check_session_state(&statement.text, statement.expected_rows.as_ref(), reply.as_ref());
        self.drop_lost_session(reply.as_ref());
        // A session is lost if all nodes that store it have failed. Such a reply says nothing about the availability of
        // service.
        let session_lost = [ErrorCode::SessionUnknown, ErrorCode::SessionLost];
        let counts_as_service = !reply.as_ref().is_some_and(|reply| reply.has_code(&session_lost));
        if !order_side && counts_as_service {
            let code = reply.as_ref().and_then(Reply::code).unwrap_or(0);
            self.record_served("lookup", asked, succeeded, code);
        }
        if let Some(reply) = reply.filter(|_| succeeded && statement.expected_rows.is_none()) {
            self.record_read(order_side, asked, &reply.body);
        }
    }

    /// Draws a read of the caller's list; on a session often a read of the session's state instead.
    fn draw_lookup(&mut self, on_session: bool) -> SessionStatement {
        let mark = self.next_mark();
        let kind = if on_session { self.rng.below(10) } else { u64::MAX };
        match kind {
            0..3 => self.show_tag(mark),
            3..6 => self.execute_prepared(json!(self.order_count), mark),
            _ => SessionStatement {
                text: format!("get {}", self.list()),
                params: json!([mark]),
                expected_rows: None,
            },
        }
    }

    fn record_read(&self, order_side: bool, asked: Millis, answer: &Value) {
        let place = |key: &str| answer["where"][key].as_str().unwrap_or_default().to_owned();
        let orders = answer["rows"][0][0].as_array().into_iter().flatten().filter_map(Value::as_str);
        let seen: BTreeSet<String> = orders.map(str::to_owned).collect();
        let read = ReadRecord {
            group: self.group(),
            list: self.list(),
            order_side,
            asked,
            answered: now(),
            seen,
            server: place("server"),
            node: place("node"),
        };
        self.env.history.lock().unwrap().reads.push(read);
    }
}
