//! Callers (§9.2): many sessions that order, ask after orders, look up, and remember what they were told.
use crate::history::{Book, EditionRow, End, ReadRow, TryRow};
use qh_core::http::{Call, Wire, post};
use qh_core::now;
use qh_core::rng::Rng;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// What all callers of a run share.
pub struct World {
    pub book: Book,
    pub platform: String,
    pub groups: usize,
    pub districts: usize,
    /// Time between two calls of one caller, in the mean.
    pub pause_ms: u64,
    pub lookup_ms: u64,
    /// Orders to lookups, of a thousand calls.
    pub orders_pm: u64,
    pub stop: AtomicBool,
    pub sent: std::sync::Mutex<std::collections::BTreeSet<String>>,
    pub calls: AtomicU64,
}

pub struct Caller {
    pub w: Arc<World>,
    pub id: usize,
    pub rng: Rng,
    district: String,
    wire: Option<(Wire, String)>,
    session: Option<(String, u64)>,
    pub(crate) n: u64,
}

const ORDER_MS: u64 = 1_000;

impl Caller {
    pub fn new(w: Arc<World>, id: usize, seed: u64) -> Self {
        let district = format!("d{}", id % w.districts + 1);
        Self { w, id, rng: Rng::new(seed ^ (id as u64) << 20), district, wire: None, session: None, n: 0 }
    }
    pub fn mark(&self) -> String {
        format!("c{}", self.id)
    }
    pub fn group(&self) -> String {
        format!("g{}", self.id % self.w.groups + 1)
    }
    pub fn list(&self) -> String {
        format!("orders/{}", self.mark())
    }

    /// One call to this caller's node; `None` when no answer came.
    pub async fn call(&mut self, path: &str, body: Value, within: u64) -> Option<(u16, Value)> {
        if self.wire.is_none() {
            let place = json!({"district": self.district});
            let (st, v) = post(&self.w.platform, "/v1/place", &place, Duration::from_millis(500)).await.ok()?;
            let door = v["door"].as_str().filter(|_| st == 200)?.to_owned();
            let wire = tokio::time::timeout(Duration::from_millis(500), Wire::open(&door, None)).await.ok()?.ok()?;
            self.wire = Some((wire, door));
        }
        if let Some(t) = body["text"].as_str() {
            self.w.sent.lock().unwrap().insert(t.to_owned());
        }
        self.w.calls.fetch_add(1, Ordering::Relaxed);
        let asked = now();
        let c = Call { method: "POST", path, body: &body, token: None };
        let (wire, _) = self.wire.as_mut()?;
        let got = tokio::time::timeout(Duration::from_millis(within + 500), wire.ask(&c)).await;
        let Ok(Ok((st, v))) = got else {
            self.wire = None;
            return None;
        };
        let mut h = self.w.book.lock().unwrap();
        if now() > asked + within + 200 {
            h.late += 1;
        }
        if let (Some(e), Some(n)) = (v["where"]["edition"].as_u64(), v["where"]["node"].as_str()) {
            h.editions.push(EditionRow { node: n.into(), asked, answered: now(), edition: e });
        }
        let stamped = v["stamp"]["server"].as_str();
        let works = v["where"]["server"].as_str().is_some_and(|s| !s.is_empty());
        if v["end"] == "kept" && works && (stamped != v["where"]["server"].as_str() || v["rows"].is_null()) {
            h.spot.push(format!("N4 {path} was answered kept without the server's own stamp and rows: {v}"));
        }
        drop(h);
        // A node that stops or is not ready: the platform knows another.
        if matches!(v["error"]["code"].as_u64(), Some(1501..=1503)) {
            self.wire = None;
        }
        Some((st, v))
    }

    fn end_of(got: &Option<(u16, Value)>) -> End {
        match got.as_ref().map(|(_, v)| v["end"].as_str().unwrap_or_default()) {
            Some("kept") => End::Kept,
            Some("nothing") => End::Nothing,
            Some(_) => End::Unknown,
            None => End::Lost,
        }
    }

    fn told(&self, key: &str, asked: u64, got: &Option<(u16, Value)>) -> End {
        let mut end = Self::end_of(got);
        // What the platform could not place was never sent.
        if got.is_none() && self.wire.is_none() && asked == 0 {
            end = End::Nothing;
        }
        let sealed = got.as_ref().is_some_and(|(_, v)| v["error"]["code"] == 1407);
        let group = self.group();
        let mut h = self.w.book.lock().unwrap();
        let row = h.tries.entry(key.to_owned()).or_insert_with(|| TryRow {
            group: group.clone(),
            list: self.list(),
            key: key.to_owned(),
            ends: vec![],
            sealed: false,
        });
        row.ends.push((end, asked, now()));
        row.sealed |= sealed;
        if end == End::Kept {
            h.kept_at.entry(group).or_default().push(now());
        }
        end
    }

    async fn session(&mut self) -> Option<(String, u64)> {
        if self.session.is_none() {
            let (_, v) = self.call("/v1/open", json!({}), ORDER_MS).await?;
            let id = v["session"].as_str()?.to_owned();
            let e = v["edition"].as_u64()?;
            let set = json!({"session": id, "edition": e, "text": format!("tag={}", self.mark())});
            let (_, v) = self.call("/v1/set", set, ORDER_MS).await?;
            let e = v["edition"].as_u64().filter(|_| v["end"] == "kept")?;
            let prep = json!({"session": id, "edition": e, "name": "mine", "text": "has $1 $2"});
            let (_, v) = self.call("/v1/prepare", prep, ORDER_MS).await?;
            let e = v["edition"].as_u64().filter(|_| v["end"] == "kept")?;
            self.session = Some((id, e));
        }
        self.session.clone()
    }

    fn labels(&self) -> Value {
        json!({"db": self.group()})
    }

    /// One order, in one step or several; in doubt it is asked after until it is known.
    pub async fn order(&mut self) {
        self.n += 1;
        let key = format!("{}-{}", self.mark(), self.n);
        let steps = self.rng.below(10);
        let mut end = if steps < 3 { self.in_steps(&key, 1 + steps).await } else { self.at_once(&key).await };
        // Nothing kept: now and then the same try is sent again; kept: it is sent twice.
        if (end == End::Nothing && self.rng.chance(500)) || (end == End::Kept && steps >= 3 && self.rng.chance(30)) {
            end = self.at_once_as(&key, steps).await;
        }
        for _ in 0..60 {
            if !matches!(end, End::Unknown | End::Lost) || self.w.stop.load(Ordering::Relaxed) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
            end = self.ask_after(&key).await;
        }
    }

    pub async fn ask_after(&mut self, key: &str) -> End {
        let body = json!({"try": key, "labels": self.labels(), "seal": true, "deadline_ms": ORDER_MS});
        let asked = now();
        let got = self.call("/v1/outcome", body, ORDER_MS).await;
        self.told(key, asked, &got)
    }

    async fn at_once(&mut self, key: &str) -> End {
        let text = format!("append {} $1", self.list());
        let body = json!({"try": key, "text": text, "params": [key, self.mark()], "labels": self.labels(),
            "deadline_ms": ORDER_MS});
        let asked = now();
        let got = self.call("/v1/order", body, ORDER_MS).await;
        self.told(key, asked, &got)
    }
    /// Only a one-step order can be repeated as one: another content under the same try is declined.
    async fn at_once_as(&mut self, key: &str, steps: u64) -> End {
        if steps < 3 { self.in_steps(key, 1 + steps).await } else { self.at_once(key).await }
    }

    async fn in_steps(&mut self, key: &str, steps: u64) -> End {
        let Some((id, e)) = self.session().await else { return self.told(key, now(), &not_sent()) };
        let begin = json!({"session": id, "edition": e, "labels": self.labels(), "deadline_ms": ORDER_MS});
        let got = self.call("/v1/begin", begin, ORDER_MS).await;
        if Self::end_of(&got) != End::Kept {
            self.lost_session(&got);
            return self.told(key, now(), &not_sent());
        }
        for i in 0..steps {
            let text = if i == 0 { format!("append {} $1", self.list()) } else { "add total 1".into() };
            let run = json!({"session": id, "edition": e, "text": text, "params": [key, self.mark()], "deadline_ms": ORDER_MS});
            let got = self.call("/v1/run", run, ORDER_MS).await;
            if Self::end_of(&got) != End::Kept {
                self.lost_session(&got);
                return self.told(key, now(), &not_sent());
            }
            let pause = self.rng.below(40);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        let asked = now();
        let commit = json!({"session": id, "edition": e, "try": key, "deadline_ms": ORDER_MS});
        let got = self.call("/v1/commit", commit, ORDER_MS).await;
        self.lost_session(&got);
        self.told(key, asked, &got)
    }

    /// A session that is gone, or whose state is not known after a lost answer, is opened anew.
    fn lost_session(&mut self, got: &Option<(u16, Value)>) {
        let code = got.as_ref().and_then(|(_, v)| v["error"]["code"].as_u64());
        if got.is_none() || matches!(code, Some(1201 | 1202 | 1205)) {
            self.session = None;
        }
    }

    /// A lookup of this caller's orders, by a replica or at the order's side.
    pub async fn look(&mut self) {
        let order_side = self.rng.chance(250);
        let session = if self.rng.chance(300) { self.session().await } else { None };
        let ms = if order_side { ORDER_MS } else { self.w.lookup_ms };
        let mut body = json!({"text": format!("get {}", self.list()), "params": [null, self.mark()],
            "labels": self.labels(), "deadline_ms": ms, "order_side": order_side});
        let tag = session.is_some() && self.rng.chance(600);
        if let Some((id, e)) = &session {
            body["session"] = json!(id);
            body["edition"] = json!(e);
            if tag {
                body["text"] = json!("show tag");
            }
        }
        let asked = now();
        let got = self.call("/v1/lookup", body, ms).await;
        let kept = Self::end_of(&got) == End::Kept;
        self.lost_session(&got);
        let me = self.mark();
        let mut h = self.w.book.lock().unwrap();
        let Some((_, v)) = got.filter(|_| kept) else {
            h.lookups.1 += 1;
            return;
        };
        h.lookups.0 += 1;
        let (server, node) = (v["where"]["server"].as_str().unwrap_or_default(), v["where"]["node"].as_str().unwrap_or_default());
        if tag {
            if v["rows"][0][0] != me {
                h.spot.push(format!("N7 {me} lost a setting it was promised: it read {} on {server} by {node}", v["rows"]));
            }
            return;
        }
        let seen = v["rows"][0][0].as_array().into_iter().flatten().filter_map(|k| k.as_str().map(str::to_owned)).collect();
        let (group, list) = (self.group(), self.list());
        h.reads.push(ReadRow { group, list, order_side, asked, seen, server: server.into(), node: node.into() });
    }

    pub async fn run(mut self) {
        while !self.w.stop.load(Ordering::Relaxed) {
            let pause = self.w.pause_ms / 2 + self.rng.below(self.w.pause_ms.max(1));
            tokio::time::sleep(Duration::from_millis(pause)).await;
            if self.rng.chance(self.w.orders_pm) {
                self.order().await;
            } else {
                self.look().await;
            }
        }
    }
}

/// A try whose commit was never sent.
fn not_sent() -> Option<(u16, Value)> {
    Some((0, json!({"end": "nothing"})))
}
