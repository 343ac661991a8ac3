//! What a caller does (§9.2): orders in one step or several, asks after them, looks its orders up.
use crate::history::{End, ReadRecord};
use crate::load::{Caller, ORDER_MS};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::Duration;

impl Caller {
    /// One order, in one step or several; in doubt it is asked after until it is known.
    pub async fn order(&mut self) {
        self.n += 1;
        let key = format!("{}-{}", self.mark(), self.n);
        let steps = self.rng.below(10);
        let began = now();
        let mut end =
            if steps < 3 { self.order_in_steps(&key, 1 + steps).await } else { self.at_once(&key).await };
        self.served("order", began, end == End::Kept, 0);
        // Nothing kept: now and then the same try is sent again; kept: it is sent twice.
        if (end == End::Nothing && self.rng.chance(500))
            || (end == End::Kept && steps >= 3 && self.rng.chance(30))
        {
            end = self.resend_order(&key, steps).await;
        }
        for _ in 0..60 {
            if !matches!(end, End::Unknown | End::Lost) || self.w.stop.load(Ordering::Relaxed) {
                break;
            }
            seam::sleep(Duration::from_millis(200)).await;
            end = self.resolve_outcome(&key).await;
        }
    }

    pub async fn resolve_outcome(&mut self, key: &str) -> End {
        let body = json!({"try": key, "labels": self.labels(), "seal": true, "deadline_ms": ORDER_MS});
        let asked = now();
        let got = self.call("/v1/outcome", body, ORDER_MS).await;
        self.told(key, asked, &got)
    }

    async fn at_once(&mut self, key: &str) -> End {
        let text = format!("append {} $1", self.list());
        // The same try brings the same content whenever it is sent.
        let mark = format!("{}#try{}", self.mark(), self.n);
        let body = json!({"try": key, "text": text, "params": [key, mark], "labels": self.labels(),
            "deadline_ms": ORDER_MS});
        let asked = now();
        let got = self.call("/v1/order", body, ORDER_MS).await;
        self.told(key, asked, &got)
    }
    /// Only a one-step order can be repeated as one: another content under the same try is declined.
    async fn resend_order(&mut self, key: &str, steps: u64) -> End {
        if steps < 3 { self.order_in_steps(key, 1 + steps).await } else { self.at_once(key).await }
    }

    async fn order_in_steps(&mut self, key: &str, steps: u64) -> End {
        let Some((id, e)) = self.session().await else { return self.told(key, now(), &never_sent()) };
        let begin = json!({"session": id, "version": e, "labels": self.labels(), "deadline_ms": ORDER_MS});
        let got = self.call("/v1/begin", begin, ORDER_MS).await;
        if Self::end_of_reply(&got) != End::Kept {
            self.drop_lost_session(&got);
            return self.told(key, now(), &never_sent());
        }
        for i in 0..=steps {
            let mark = self.next_mark();
            // Its settings and prepared texts hold within a transaction too.
            let (text, params, want) = match i {
                0 => (format!("append {} $1", self.list()), json!([key, mark]), None),
                _ if i < steps => ("add total 1".into(), json!([mark]), None),
                _ => match self.rng.below(3) {
                    0 => ("show tag".into(), json!([mark]), Some(json!([[self.mark()]]))),
                    1 => ("exec mine".into(), json!([key, mark]), Some(json!([[self.mark(), key]]))),
                    _ => break,
                },
            };
            let run =
                json!({"session": id, "version": e, "text": text, "params": params, "deadline_ms": ORDER_MS});
            let got = self.call("/v1/run", run, ORDER_MS).await;
            self.promised(&text, want.as_ref(), &got);
            if Self::end_of_reply(&got) != End::Kept {
                self.drop_lost_session(&got);
                return self.told(key, now(), &never_sent());
            }
            let pause = self.rng.below(40);
            seam::sleep(Duration::from_millis(pause)).await;
        }
        let asked = now();
        let commit = json!({"session": id, "version": e, "try": key, "deadline_ms": ORDER_MS});
        let got = self.call("/v1/commit", commit, ORDER_MS).await;
        self.drop_lost_session(&got);
        self.told(key, asked, &got)
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
    fn promised(&self, text: &str, want: Option<&Value>, got: &Option<(u16, Value)>) {
        let (Some(want), Some((_, v))) = (want, got) else { return };
        let other = v["end"] == "kept" && v["rows"] != *want;
        let unknown = v["error"]["code"] == 1402;
        if other || unknown {
            let (by, on) = (&v["where"]["node"], &v["where"]["server"]);
            let me = self.mark();
            let s =
                format!("N7 {me} lost what it was promised: '{text}' on {on} by {by} came to {}", v["rows"]);
            self.w.book.lock().unwrap().violations.push(s);
        }
    }

    /// A lookup of this caller's orders, by a replica or at the order's side.
    pub async fn look(&mut self) {
        let order_side = self.rng.chance(250);
        let session = if self.rng.chance(300) { self.session().await } else { None };
        let ms = if order_side { ORDER_MS } else { self.w.lookup_ms };
        let mark = self.next_mark();
        let mut body = json!({"text": format!("get {}", self.list()), "params": [mark],
            "labels": self.labels(), "deadline_ms": ms, "order_side": order_side});
        let mut want = None;
        if let Some((id, e)) = &session {
            body["session"] = json!(id);
            body["version"] = json!(e);
            let (text, params, rows) = match self.rng.below(10) {
                0..3 => ("show tag", json!([mark]), json!([[self.mark()]])),
                3..6 => ("exec mine", json!([self.n, mark]), json!([[self.mark(), self.n]])),
                _ => ("", Value::Null, Value::Null),
            };
            if !text.is_empty() {
                (body["text"], body["params"], want) = (json!(text), params, Some(rows));
            }
        }
        let text = body["text"].as_str().unwrap_or_default().to_owned();
        let asked = now();
        let got = self.call("/v1/lookup", body, ms).await;
        let kept = Self::end_of_reply(&got) == End::Kept;
        self.promised(&text, want.as_ref(), &got);
        self.drop_lost_session(&got);
        if !order_side {
            let code = got.as_ref().and_then(|(_, v)| v["error"]["code"].as_u64());
            // A session whose every owner died is lost and said so: that is no word on the service.
            if !matches!(code, Some(1201 | 1202)) {
                self.served("lookup", asked, kept, code.unwrap_or(0));
            }
        }
        let Some((_, v)) = got.filter(|_| kept && want.is_none()) else { return };
        let mut h = self.w.book.lock().unwrap();
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
