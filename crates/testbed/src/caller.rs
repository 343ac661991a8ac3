//! Callers: clients that send orders, resolve orders in doubt, send lookups, and record the replies.
use crate::caller_records::SentCall;
use crate::history::CallEnd;
use crate::load_environment::LoadEnvironment;
use crate::reply::{Reply, call_end};
use quincehatch_core::{ErrorCode, Millis};
use quincehatch_runtime::rng::Rng;
use quincehatch_runtime::{now, seam};
use quincehatch_wire::http::{HttpConnection, JsonRequest, post_once};
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Deadline of an order.
pub(crate) const ORDER_MS: Millis = 1_000;
/// Time limit of the call to the platform, and of the connection to the node it names.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that a caller waits for a reply beyond its call's deadline.
const EXTRA_WAIT: Millis = 500;
/// Lowest bit of a caller's number in its random seed.
const CALLER_SEED_SHIFT: u32 = 20;
const HTTP_OK: u16 = 200;

/// A caller's session on the nodes.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    pub(crate) id: String,
    /// Version of its state.
    pub(crate) version: u64,
}

/// One caller.
pub struct Caller {
    /// The environment that all callers share.
    pub env: Arc<LoadEnvironment>,
    /// Its number.
    pub id: usize,
    /// Random number generator of the caller.
    pub rng: Rng,
    zone: String,
    connection: Option<HttpConnection>,
    pub(crate) session: Option<Session>,
    pub(crate) order_count: u64,
    mark_count: u64,
}

impl Caller {
    /// Creates a caller without a connection or session.
    pub fn new(env: Arc<LoadEnvironment>, id: usize, seed: u64) -> Caller {
        // With zone affinity all callers of a group are in one zone, so only its nodes observe that group's servers.
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

    /// Returns the caller's name, which marks its statements.
    pub fn caller_mark(&self) -> String {
        format!("c{}", self.id)
    }

    /// Returns the group that the caller uses.
    pub fn group(&self) -> String {
        format!("g{}", self.id % self.env.groups + 1)
    }

    /// Returns the list that the caller's orders are appended to.
    pub fn list(&self) -> String {
        format!("orders/{}", self.caller_mark())
    }

    /// Sends calls until the run stops, or until the time `until`.
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

    /// Moves to a drawn zone and keeps the session.
    fn move_to_drawn_zone(&mut self) {
        let zone = self.rng.below(self.env.zones as u64) + 1;
        self.zone = format!("d{zone}");
        self.connection = None;
    }

    /// Opens a connection to the node that the platform names.
    async fn connect(&self) -> Option<HttpConnection> {
        let place = json!({"district": self.zone});
        let placed = post_once(&self.env.platform, "/v1/place", &place, CONNECT_TIMEOUT).await;
        let (status, body) = placed.ok()?;
        let node = body["door"].as_str().filter(|_| status == HTTP_OK)?;
        seam::timeout(CONNECT_TIMEOUT, HttpConnection::open(node, None)).await.ok()?.ok()
    }

    /// Sends one call to this caller's node; none if no reply arrived.
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
        // The node is stopping or not ready: the next call asks the platform for another one.
        let elsewhere = [ErrorCode::Stopping, ErrorCode::NoLease, ErrorCode::NotReady];
        if reply.has_code(&elsewhere) && !self.env.keeps_connections {
            self.connection = None;
        }
        Some(reply)
    }

    /// Returns a mark that is unique among the statements of this caller.
    pub(crate) fn next_mark(&mut self) -> String {
        self.mark_count += 1;
        format!("{}#{}", self.caller_mark(), self.mark_count)
    }

    /// Returns the session; opens one with a setting and a prepared statement if there is none.
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

    /// Changes the session's state and returns its new version.
    async fn change_session(&mut self, path: &str, body: Value) -> Option<u64> {
        let reply = self.call(path, body, ORDER_MS).await?;
        let is_accepted = call_end(Some(&reply)) == CallEnd::Accepted;
        reply.body["version"].as_u64().filter(|_| is_accepted)
    }

    /// Returns the labels of the caller's requests.
    pub(crate) fn labels(&self) -> Value {
        json!({"db": self.group()})
    }
}
