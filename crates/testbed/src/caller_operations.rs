//! What a caller does (§9.2): orders in one step or several, asks after them, looks its orders up.
use crate::caller::{Caller, ORDER_MS};
use crate::history::{CallEnd, ReadRecord};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::Duration;

impl Caller {
    /// One order, in one step or several; in doubt it is asked after until it is known.
    pub async fn place_order(&mut self) {
        self.order_count += 1;
        let key = format!("{}-{}", self.caller_mark(), self.order_count);
        let steps = self.rng.below(10);
        let began = now();
        let mut end = if steps < 3 {
            self.order_in_steps(&key, 1 + steps).await
        } else {
            self.order_in_one_step(&key).await
        };
        self.record_served("order", began, end == CallEnd::Committed, 0);
        // Nothing kept: now and then the same try is sent again; kept: it is sent twice.
        if (end == CallEnd::NotApplied && self.rng.chance(500))
            || (end == CallEnd::Committed && steps >= 3 && self.rng.chance(30))
        {
            end = self.resend_order(&key, steps).await;
        }
        for _ in 0..60 {
            if !matches!(end, CallEnd::Unknown | CallEnd::NoReply) || self.env.stop.load(Ordering::Relaxed) {
                break;
            }
            seam::sleep(Duration::from_millis(200)).await;
            end = self.resolve_outcome(&key).await;
        }
    }

    pub async fn resolve_outcome(&mut self, key: &str) -> CallEnd {
        let body = json!({"try": key, "labels": self.labels(), "seal": true, "deadline_ms": ORDER_MS});
        let asked = now();
        let got = self.call("/v1/outcome", body, ORDER_MS).await;
        self.record_reply(key, asked, &got)
    }

    async fn order_in_one_step(&mut self, key: &str) -> CallEnd {
        let text = format!("append {} $1", self.list());
        // The same try brings the same content whenever it is sent.
        let mark = format!("{}#try{}", self.caller_mark(), self.order_count);
        let body = json!({"try": key, "text": text, "params": [key, mark], "labels": self.labels(),
            "deadline_ms": ORDER_MS});
        let asked = now();
        let got = self.call("/v1/order", body, ORDER_MS).await;
        self.record_reply(key, asked, &got)
    }
    /// Only a one-step order can be repeated as one: another content under the same try is declined.
    async fn resend_order(&mut self, key: &str, steps: u64) -> CallEnd {
        if steps < 3 { self.order_in_steps(key, 1 + steps).await } else { self.order_in_one_step(key).await }
    }

    async fn order_in_steps(&mut self, key: &str, steps: u64) -> CallEnd {
        let Some((id, e)) = self.session().await else { return self.record_reply(key, now(), &never_sent()) };
        let begin = json!({"session": id, "version": e, "labels": self.labels(), "deadline_ms": ORDER_MS});
        let got = self.call("/v1/begin", begin, ORDER_MS).await;
        if Self::end_of_reply(&got) != CallEnd::Committed {
            self.drop_lost_session(&got);
            return self.record_reply(key, now(), &never_sent());
        }
        for i in 0..=steps {
            let mark = self.next_mark();
            // Its settings and prepared texts hold within a transaction too.
            let (text, params, want) = match i {
                0 => (format!("append {} $1", self.list()), json!([key, mark]), None),
                _ if i < steps => ("add total 1".into(), json!([mark]), None),
                _ => match self.rng.below(3) {
                    0 => ("show tag".into(), json!([mark]), Some(json!([[self.caller_mark()]]))),
                    1 => ("exec mine".into(), json!([key, mark]), Some(json!([[self.caller_mark(), key]]))),
                    _ => break,
                },
            };
            let run =
                json!({"session": id, "version": e, "text": text, "params": params, "deadline_ms": ORDER_MS});
            let got = self.call("/v1/run", run, ORDER_MS).await;
            self.check_session_state(&text, want.as_ref(), &got);
            if Self::end_of_reply(&got) != CallEnd::Committed {
                self.drop_lost_session(&got);
                return self.record_reply(key, now(), &never_sent());
            }
            let pause = self.rng.below(40);
            seam::sleep(Duration::from_millis(pause)).await;
        }
        let asked = now();
        let commit = json!({"session": id, "version": e, "try": key, "deadline_ms": ORDER_MS});
        let got = self.call("/v1/commit", commit, ORDER_MS).await;
        self.drop_lost_session(&got);
        self.record_reply(key, asked, &got)
    }

    /// A session that is gone, or whose state is not known after a lost answer, is opened anew.
    fn drop_lost_session(&mut self, got: &Option<(u16, Value)>) {
        let code = got.as_ref().and_then(|(_, v)| v["error"]["code"].as_u64());
        if got.is_none() || matches!(code, Some(1201 | 1202 | 1205)) {
            self.session = None;
        }
    }

    /// What a session was promised it finds, wherever it runs: other rows, or a server that knows nothing of the
    /// prepared text, are a breach.
    fn check_session_state(&self, text: &str, want: Option<&Value>, got: &Option<(u16, Value)>) {
        let (Some(want), Some((_, v))) = (want, got) else { return };
        let other = v["end"] == "kept" && v["rows"] != *want;
        let unknown = v["error"]["code"] == 1402;
        if other || unknown {
            let (by, on) = (&v["where"]["node"], &v["where"]["server"]);
            let me = self.caller_mark();
            let s =
                format!("N7 {me} lost what it was promised: '{text}' on {on} by {by} came to {}", v["rows"]);
            self.env.history.lock().unwrap().violations.push(s);
        }
    }

    /// A lookup of this caller's orders, by a replica or at the order's side.
    pub async fn look_up(&mut self) {
        let order_side = self.rng.chance(250);
        let session = if self.rng.chance(300) { self.session().await } else { None };
        let ms = if order_side { ORDER_MS } else { self.env.lookup_ms };
        let mark = self.next_mark();
        let mut body = json!({"text": format!("get {}", self.list()), "params": [mark],
            "labels": self.labels(), "deadline_ms": ms, "order_side": order_side});
        let mut want = None;
        if let Some((id, e)) = &session {
            body["session"] = json!(id);
            body["version"] = json!(e);
            let (text, params, rows) = match self.rng.below(10) {
                0..3 => ("show tag", json!([mark]), json!([[self.caller_mark()]])),
                3..6 => (
                    "exec mine",
                    json!([self.order_count, mark]),
                    json!([[self.caller_mark(), self.order_count]]),
                ),
                _ => ("", Value::Null, Value::Null),
            };
            if !text.is_empty() {
                (body["text"], body["params"], want) = (json!(text), params, Some(rows));
            }
        }
        let text = body["text"].as_str().unwrap_or_default().to_owned();
        let asked = now();
        let got = self.call("/v1/lookup", body, ms).await;
        let kept = Self::end_of_reply(&got) == CallEnd::Committed;
        self.check_session_state(&text, want.as_ref(), &got);
        self.drop_lost_session(&got);
        if !order_side {
            let code = got.as_ref().and_then(|(_, v)| v["error"]["code"].as_u64());
            // A session whose every owner died is lost and said so: that is no word on the service.
            if !matches!(code, Some(1201 | 1202)) {
                self.record_served("lookup", asked, kept, code.unwrap_or(0));
            }
        }
        let Some((_, v)) = got.filter(|_| kept && want.is_none()) else { return };
        let mut h = self.env.history.lock().unwrap();
        let (server, node) = (
            v["where"]["server"].as_str().unwrap_or_default(),
            v["where"]["node"].as_str().unwrap_or_default(),
        );
        let seen = v["rows"][0][0]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|k| k.as_str().map(str::to_owned))
            .collect();
        let (group, list) = (self.group(), self.list());
        h.reads.push(ReadRecord {
            group,
            list,
            order_side,
            asked,
            answered: now(),
            seen,
            server: server.into(),
            node: node.into(),
        });
    }
}

/// A try whose commit was never sent.
fn never_sent() -> Option<(u16, Value)> {
    Some((0, json!({"end": "nothing"})))
}
