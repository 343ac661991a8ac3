//! Callers: sessions that send orders, resolve open ones, look up, and record what they were told.
use crate::history::{
    AnswerRecord, AttemptRecord, CallEnd, SentStatement, SentStatements, ServedCall, SharedHistory,
    VersionRecord,
};
use crate::stand_in::journal::request_id;
use quincehatch_core::{ErrorCode, Millis};
use quincehatch_runtime::rng::Rng;
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::{HttpConnection, JsonRequest, post_once};
use serde_json::{Value, json};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Deadline of an order.
pub(crate) const ORDER_MS: Millis = 1_000;
/// The platform, and a connection to the node it names, have so long.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A caller waits this much longer than its call's deadline.
const EXTRA_WAIT: Millis = 500;
/// An answer that comes this much later than its call's deadline is late.
const LATE_AFTER: Millis = 200;
/// A caller's number is put into its random seed from this bit on.
const CALLER_SEED_SHIFT: u32 = 20;
const HTTP_OK: u16 = 200;

/// What all callers of a run share.
pub struct LoadEnvironment {
    /// What callers were told.
    pub history: SharedHistory,
    /// Where the platform listens.
    pub platform: String,
    /// Number of groups.
    pub groups: usize,
    /// Number of zones.
    pub zones: usize,
    /// Callers of a group all begin in one zone.
    pub zone_affinity: bool,
    /// Mean time between two calls of one caller.
    pub pause_ms: Millis,
    /// Deadline of a lookup.
    pub lookup_ms: Millis,
    /// Orders in a thousand calls; the others are lookups.
    pub orders_per_mille: u64,
    /// Moves to another zone in a thousand calls.
    pub moves_per_mille: u64,
    /// Callers end once it is set.
    pub stop: AtomicBool,
    /// What callers sent.
    pub sent_statements: Mutex<SentStatements>,
    /// Calls so far.
    pub calls: AtomicU64,
    /// Callers that came beside the first ones.
    pub extra_callers: AtomicU64,
}

/// Status and body of a reply.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Value,
}

impl Reply {
    /// The number of the result; none for a success.
    pub fn code(&self) -> Option<u64> {
        self.body["error"]["code"].as_u64()
    }

    /// True if it tells one of these results.
    pub fn has_code(&self, codes: &[ErrorCode]) -> bool {
        let code = self.code();
        codes.iter().any(|wanted| code == Some(wanted.number().into()))
    }
}

/// How a call ended, by its reply.
pub fn call_end(reply: Option<&Reply>) -> CallEnd {
    match reply.map(|reply| reply.body["end"].as_str().unwrap_or_default()) {
        Some("kept") => CallEnd::Committed,
        Some("promised") => CallEnd::Accepted,
        Some("nothing") => CallEnd::NotApplied,
        Some(_) => CallEnd::Unknown,
        None => CallEnd::NoReply,
    }
}

/// A call that was sent.
struct SentCall<'call> {
    path: &'call str,
    body: &'call Value,
    asked: Millis,
    deadline: Millis,
}

/// A session that the nodes keep for a caller.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) id: String,
    /// Version of its state.
    pub(crate) version: u64,
}

/// One caller.
pub struct Caller {
    /// What it shares with the others.
    pub env: Arc<LoadEnvironment>,
    /// Its number.
    pub id: usize,
    /// Its randomness.
    pub rng: Rng,
    zone: String,
    connection: Option<HttpConnection>,
    pub(crate) session: Option<Session>,
    pub(crate) order_count: u64,
    mark_count: u64,
}

impl Caller {
    /// A caller that has not called yet.
    pub fn new(env: Arc<LoadEnvironment>, id: usize, seed: u64) -> Caller {
        // With zone affinity only a group's own zone sees what that group's servers do.
        let place = if env.zone_affinity { id } else { id / env.groups };
        let zone = format!("d{}", place % env.zones + 1);
        Caller {
            env,
            id,
            rng: Rng::new(seed ^ (id as u64) << CALLER_SEED_SHIFT),
            zone,
            connection: None,
            session: None,
            order_count: 0,
            mark_count: 0,
        }
    }

    /// The caller's name, by which its statements are known.
    pub fn caller_mark(&self) -> String {
        format!("c{}", self.id)
    }

    /// The group that it calls.
    pub fn group(&self) -> String {
        format!("g{}", self.id % self.env.groups + 1)
    }

    /// The list that its orders go to.
    pub fn list(&self) -> String {
        format!("orders/{}", self.caller_mark())
    }

    /// Calls until the run stops, or until `until`.
    pub async fn run_until(mut self, until: Millis, pause_ms: Millis) {
        while !self.env.stop.load(Ordering::Relaxed) && now() < until {
            let pause = pause_ms / 2 + self.rng.below(pause_ms.max(1));
            seam::sleep(Duration::from_millis(pause)).await;
            if self.rng.chance(self.env.moves_per_mille) {
                self.move_to_drawn_zone();
            }
            if self.rng.chance(self.env.orders_per_mille) {
                self.place_order().await;
            } else {
                self.look_up().await;
            }
        }
    }

    /// Moves to another zone, and takes the session along.
    fn move_to_drawn_zone(&mut self) {
        let zone = self.rng.below(self.env.zones as u64) + 1;
        self.zone = format!("d{zone}");
        self.connection = None;
    }

    /// A connection to the node that the platform names.
    async fn connect(&self) -> Option<HttpConnection> {
        let place = json!({"district": self.zone});
        let placed = post_once(&self.env.platform, "/v1/place", &place, CONNECT_TIMEOUT).await;
        let (status, body) = placed.ok()?;
        let node = body["door"].as_str().filter(|_| status == HTTP_OK)?;
        seam::timeout(CONNECT_TIMEOUT, HttpConnection::open(node, None)).await.ok()?.ok()
    }

    /// One call to this caller's node; none if no answer came.
    pub async fn call(&mut self, path: &str, body: Value, deadline: Millis) -> Option<Reply> {
        if self.connection.is_none() {
            self.connection = Some(self.connect().await?);
        }
        self.record_sent(path, &body);
        self.env.calls.fetch_add(1, Ordering::Relaxed);
        let asked = now();
        let call = JsonRequest { method: "POST", path, body: &body, token: None };
        let connection = self.connection.as_mut()?;
        let wait = Duration::from_millis(deadline + EXTRA_WAIT);
        let Ok(Ok((status, answer))) = seam::timeout(wait, connection.call(&call)).await else {
            self.connection = None;
            return None;
        };
        let reply = Reply { status, body: answer };
        self.record_answer(&SentCall { path, body: &body, asked, deadline }, &reply);
        // A node that stops or is not ready: the platform knows another.
        let elsewhere = [ErrorCode::Stopping, ErrorCode::NoLease, ErrorCode::NotReady];
        if reply.has_code(&elsewhere) {
            self.connection = None;
        }
        Some(reply)
    }

    /// Records what an answer tells of the node, and of the server it comes from.
    fn record_answer(&self, call: &SentCall<'_>, reply: &Reply) {
        let SentCall { path, body, asked, deadline } = *call;
        let answer = &reply.body;
        let mut history = self.env.history.lock().unwrap();
        if now() > asked + deadline + LATE_AFTER {
            history.late_replies += 1;
        }
        // A request that no route was found for ran under no version: its node may hold no lease and no configuration.
        let was_routed = answer["where"]["placement"].as_str().is_some_and(|placement| !placement.is_empty());
        let (version, node) = (answer["where"]["version"].as_u64(), answer["where"]["node"].as_str());
        if let (true, Some(version), Some(node)) = (was_routed, version, node) {
            history.versions.push(VersionRecord { node: node.into(), asked, answered: now(), version });
        }
        if answer["end"] == "kept" {
            let (stamp, rows) = (answer["stamp"].clone(), answer["rows"].clone());
            history.answers.push(AnswerRecord { path: path.into(), id: request_id(body), stamp, rows });
        }
    }

    /// Records what is sent, so that a server's journal can be compared with it.
    fn record_sent(&self, path: &str, body: &Value) {
        let Some(text) = body["text"].as_str() else { return };
        let mut sent = self.env.sent_statements.lock().unwrap();
        match path {
            "/v1/set" => {
                sent.session_state.insert(text.to_owned());
            }
            "/v1/prepare" => {
                let name = body["name"].as_str().unwrap_or_default();
                sent.session_state.insert(format!("{name}={text}"));
            }
            _ => {
                let mark = body["params"].as_array().and_then(|params| params.last()).and_then(Value::as_str);
                let mark = mark.unwrap_or_default().to_owned();
                let statement = sent.marks.entry(mark).or_insert_with(|| SentStatement {
                    text: text.to_owned(),
                    params: body["params"].clone(),
                    times: 0,
                    retryable: path == "/v1/lookup" && body["order_side"] != true,
                });
                statement.times += 1;
            }
        }
    }

    /// A mark that no other statement of this caller bears.
    pub(crate) fn next_mark(&mut self) -> String {
        self.mark_count += 1;
        format!("{}#{}", self.caller_mark(), self.mark_count)
    }

    /// Records an order or lookup that is over.
    pub(crate) fn record_served(&self, kind: &'static str, asked: Millis, succeeded: bool, code: u64) {
        let call = ServedCall { asked, ended: now(), succeeded, code };
        let mut history = self.env.history.lock().unwrap();
        history.served.entry((self.group(), kind)).or_default().push(call);
    }

    /// Records what was told of an order's attempt.
    pub(crate) fn record_reply(&self, key: &str, asked: Millis, reply: Option<&Reply>) -> CallEnd {
        let end = call_end(reply);
        let is_sealed = reply.is_some_and(|reply| reply.has_code(&[ErrorCode::Sealed]));
        let mut history = self.env.history.lock().unwrap();
        let attempt = history.attempts.entry(key.to_owned()).or_insert_with(|| AttemptRecord {
            group: self.group(),
            list: self.list(),
            key: key.to_owned(),
            ends: Vec::new(),
            sealed: false,
        });
        attempt.ends.push((end, asked, now()));
        attempt.sealed |= is_sealed;
        end
    }

    /// The session, opened with a setting and a prepared statement if there is none.
    pub(crate) async fn session(&mut self) -> Option<Session> {
        if self.session.is_none() {
            self.session = Some(self.open_session().await?);
        }
        self.session.clone()
    }

    async fn open_session(&mut self) -> Option<Session> {
        let opened = self.call("/v1/open", json!({}), ORDER_MS).await?.body;
        let id = opened["session"].as_str()?.to_owned();
        let version = opened["version"].as_u64()?;
        let tag = format!("tag={}", self.caller_mark());
        let set = json!({"session": id, "version": version, "text": tag});
        let version = self.change_session("/v1/set", set).await?;
        let echo = format!("echo {} $1", self.caller_mark());
        let prepare = json!({"session": id, "version": version, "name": "mine", "text": echo});
        let version = self.change_session("/v1/prepare", prepare).await?;
        Some(Session { id, version })
    }

    /// Changes the session's state; its new version.
    async fn change_session(&mut self, path: &str, body: Value) -> Option<u64> {
        let reply = self.call(path, body, ORDER_MS).await?;
        let is_accepted = call_end(Some(&reply)) == CallEnd::Accepted;
        reply.body["version"].as_u64().filter(|_| is_accepted)
    }

    /// Labels of its requests.
    pub(crate) fn labels(&self) -> Value {
        json!({"db": self.group()})
    }
}
