//! Callers (§9.2): many sessions that order, ask after orders, look up, and remember what they were told.
use crate::history::{
    AnswerRecord, AttemptRecord, CallEnd, SentStatement, SentStatements, ServedCall, SharedHistory,
    VersionRecord,
};
use crate::stand_in::journal::request_id;
use quincehatch_runtime::now;
use quincehatch_runtime::rng::Rng;
use quincehatch_runtime::seam;
use quincehatch_wire::http::{Call, HttpConnection, post_once};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// What all callers of a run share.
pub struct LoadEnvironment {
    pub history: SharedHistory,
    pub platform: String,
    pub groups: usize,
    pub zones: usize,
    pub zone_affinity: bool,
    /// Time between two calls of one caller, in the mean.
    pub pause_ms: u64,
    pub lookup_ms: u64,
    /// Orders to lookups, of a thousand calls.
    pub orders_per_mille: u64,
    /// Moves to another district, of a thousand calls.
    pub moves_per_mille: u64,
    pub stop: AtomicBool,
    pub sent_statements: std::sync::Mutex<SentStatements>,
    pub calls: AtomicU64,
    /// Callers that came beside the first ones.
    pub extra_callers: AtomicU64,
}

pub struct Caller {
    pub env: Arc<LoadEnvironment>,
    pub id: usize,
    pub rng: Rng,
    zone: String,
    connection: Option<(HttpConnection, String)>,
    pub(crate) session: Option<(String, u64)>,
    pub(crate) order_count: u64,
    mark_count: u64,
}

pub(crate) const ORDER_MS: u64 = 1_000;

impl Caller {
    pub fn new(w: Arc<LoadEnvironment>, id: usize, seed: u64) -> Self {
        // Where callers keep to their district's group, only its nodes see what that group's servers do.
        let place = if w.zone_affinity { id } else { id / w.groups };
        let district = format!("d{}", place % w.zones + 1);
        Self {
            env: w,
            id,
            rng: Rng::new(seed ^ (id as u64) << 20),
            zone: district,
            connection: None,
            session: None,
            order_count: 0,
            mark_count: 0,
        }
    }
    pub fn caller_mark(&self) -> String {
        format!("c{}", self.id)
    }
    pub fn group(&self) -> String {
        format!("g{}", self.id % self.env.groups + 1)
    }
    pub fn list(&self) -> String {
        format!("orders/{}", self.caller_mark())
    }

    /// One call to this caller's node; `None` when no answer came.
    pub async fn call(&mut self, path: &str, body: Value, within: u64) -> Option<(u16, Value)> {
        if self.connection.is_none() {
            let place = json!({"district": self.zone});
            let (st, v) =
                post_once(&self.env.platform, "/v1/place", &place, Duration::from_millis(500)).await.ok()?;
            let door = v["door"].as_str().filter(|_| st == 200)?.to_owned();
            let wire = seam::timeout(Duration::from_millis(500), HttpConnection::open(&door, None))
                .await
                .ok()?
                .ok()?;
            self.connection = Some((wire, door));
        }
        self.record_sent(path, &body);
        self.env.calls.fetch_add(1, Ordering::Relaxed);
        let asked = now();
        let c = Call { method: "POST", path, body: &body, token: None };
        let (wire, _) = self.connection.as_mut()?;
        let got = seam::timeout(Duration::from_millis(within + 500), wire.ask(&c)).await;
        let Ok(Ok((st, v))) = got else {
            self.connection = None;
            return None;
        };
        let mut h = self.env.history.lock().unwrap();
        if now() > asked + within + 200 {
            h.late_replies += 1;
        }
        // A visit that no rule was found for ran under none: its node may hold no lease and no blueprint.
        let ran = v["where"]["placement"].as_str().is_some_and(|p| !p.is_empty());
        if let (true, Some(e), Some(n)) = (ran, v["where"]["version"].as_u64(), v["where"]["node"].as_str()) {
            h.versions.push(VersionRecord { node: n.into(), asked, answered: now(), version: e });
        }
        if v["end"] == "kept" {
            let (stamp, rows) = (v["stamp"].clone(), v["rows"].clone());
            h.answers.push(AnswerRecord { path: path.into(), id: request_id(&body), stamp, rows });
        }
        drop(h);
        // A node that stops or is not ready: the platform knows another.
        if matches!(v["error"]["code"].as_u64(), Some(1501..=1503)) {
            self.connection = None;
        }
        Some((st, v))
    }

    /// Keeps what is sent, so that a server's journal can be held against it.
    fn record_sent(&self, path: &str, body: &Value) {
        let Some(t) = body["text"].as_str() else { return };
        let mut all = self.env.sent_statements.lock().unwrap();
        match path {
            "/v1/set" => drop(all.session_state.insert(t.to_owned())),
            "/v1/prepare" => {
                let name = body["name"].as_str().unwrap_or_default();
                all.session_state.insert(format!("{name}={t}"));
            }
            _ => {
                let mark = body["params"].as_array().and_then(|p| p.last()).and_then(Value::as_str);
                let s =
                    all.marks.entry(mark.unwrap_or_default().to_owned()).or_insert_with(|| SentStatement {
                        text: t.to_owned(),
                        params: body["params"].clone(),
                        times: 0,
                        retryable: path == "/v1/lookup" && body["order_side"] != true,
                    });
                s.times += 1;
            }
        }
    }
    /// A mark that no other statement of this caller bears.
    pub(crate) fn next_mark(&mut self) -> String {
        self.mark_count += 1;
        format!("{}#{}", self.caller_mark(), self.mark_count)
    }
    /// One order or lookup is over, and went well or not.
    pub(crate) fn record_served(&self, kind: &'static str, asked: u64, well: bool, code: u64) {
        let row = ServedCall { asked, ended: now(), succeeded: well, code };
        self.env.history.lock().unwrap().served.entry((self.group(), kind)).or_default().push(row);
    }

    pub(crate) fn end_of_reply(got: &Option<(u16, Value)>) -> CallEnd {
        match got.as_ref().map(|(_, v)| v["end"].as_str().unwrap_or_default()) {
            Some("kept") => CallEnd::Committed,
            Some("promised") => CallEnd::Accepted,
            Some("nothing") => CallEnd::NotApplied,
            Some(_) => CallEnd::Unknown,
            None => CallEnd::NoReply,
        }
    }

    pub(crate) fn record_reply(&self, key: &str, asked: u64, got: &Option<(u16, Value)>) -> CallEnd {
        let mut end = Self::end_of_reply(got);
        // What the platform could not place was never sent.
        if got.is_none() && self.connection.is_none() && asked == 0 {
            end = CallEnd::NotApplied;
        }
        let sealed = got.as_ref().is_some_and(|(_, v)| v["error"]["code"] == 1407);
        let mut h = self.env.history.lock().unwrap();
        let row = h.attempts.entry(key.to_owned()).or_insert_with(|| AttemptRecord {
            group: self.group(),
            list: self.list(),
            key: key.to_owned(),
            ends: vec![],
            sealed: false,
        });
        row.ends.push((end, asked, now()));
        row.sealed |= sealed;
        end
    }

    pub(crate) async fn session(&mut self) -> Option<(String, u64)> {
        if self.session.is_none() {
            let (_, v) = self.call("/v1/open", json!({}), ORDER_MS).await?;
            let id = v["session"].as_str()?.to_owned();
            let e = v["version"].as_u64()?;
            let set = json!({"session": id, "version": e, "text": format!("tag={}", self.caller_mark())});
            let (_, v) = self.call("/v1/set", set, ORDER_MS).await?;
            let e = v["version"].as_u64().filter(|_| v["end"] == "promised")?;
            let prep = json!({"session": id, "version": e, "name": "mine", "text": format!("echo {} $1", self.caller_mark())});
            let (_, v) = self.call("/v1/prepare", prep, ORDER_MS).await?;
            let e = v["version"].as_u64().filter(|_| v["end"] == "promised")?;
            self.session = Some((id, e));
        }
        self.session.clone()
    }

    pub(crate) fn labels(&self) -> Value {
        json!({"db": self.group()})
    }

    /// Calls until the run stops, or until `until`.
    pub async fn run_until(mut self, until: u64, pause_ms: u64) {
        while !self.env.stop.load(Ordering::Relaxed) && now() < until {
            let pause = pause_ms / 2 + self.rng.below(pause_ms.max(1));
            seam::sleep(Duration::from_millis(pause)).await;
            // Callers move between districts and take their sessions along.
            if self.rng.chance(self.env.moves_per_mille) {
                let to = self.rng.below(self.env.zones as u64) + 1;
                self.zone = format!("d{to}");
                self.connection = None;
            }
            if self.rng.chance(self.env.orders_per_mille) {
                self.place_order().await;
            } else {
                self.look_up().await;
            }
        }
    }
}
