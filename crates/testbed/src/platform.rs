//! The platform's stand-in: it assigns clients to ready nodes of their zone, and accepts promotions only under a rising
//! fence, with one promotion per fence.
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use quincehatch_core::FencingToken;
use quincehatch_runtime::seam;
use quincehatch_wire::http::{JsonRequest, call_once, post_once};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

/// Interval and timeout of the nodes' readiness probes.
const READINESS_INTERVAL: Duration = Duration::from_millis(250);
const READINESS_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of the promotion call to a server.
const PROMOTE_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest body of a request, in bytes.
const MAX_BODY: usize = 1 << 20;

/// A node and its last observed readiness.
struct PlatformNode {
    zone: String,
    client_listener: String,
    is_ready: bool,
}

/// A promotion that the platform accepted.
#[derive(Clone, Debug, Default, PartialEq)]
struct AcceptedPromotion {
    fence: FencingToken,
    node: String,
    server: String,
}

#[derive(Default)]
struct PlatformState {
    nodes: Vec<PlatformNode>,
    /// The newest promotion of each group.
    promotions: BTreeMap<String, AcceptedPromotion>,
}

/// The platform's stand-in with its state.
#[derive(Default)]
pub struct Platform(Mutex<PlatformState>);

impl Platform {
    /// Creates a platform for nodes that are given by zone and client listener.
    pub fn new(nodes: Vec<(String, String)>) -> Arc<Platform> {
        let node = |(zone, client_listener)| PlatformNode { zone, client_listener, is_ready: false };
        let nodes = nodes.into_iter().map(node).collect();
        Arc::new(Platform(Mutex::new(PlatformState { nodes, ..Default::default() })))
    }

    /// Answers a call with a status and a body.
    pub async fn call(&self, path: &str, body: &Value) -> (u16, Value) {
        match path {
            "/v1/promote" => self.promote(body).await,
            "/v1/place" => self.place_client(body["district"].as_str().unwrap_or_default()),
            _ => (404, json!({"error": "no such call"})),
        }
    }

    /// Answers a drawn ready node of the zone, or of any zone if the zone has none.
    fn place_client(&self, zone: &str) -> (u16, Value) {
        let state = self.0.lock().unwrap();
        let ready: Vec<&PlatformNode> = state.nodes.iter().filter(|node| node.is_ready).collect();
        let near: Vec<&PlatformNode> = ready.iter().copied().filter(|node| node.zone == zone).collect();
        let candidates = if near.is_empty() { &ready } else { &near };
        let drawn = fastrand::usize(..candidates.len().max(1));
        match candidates.get(drawn) {
            Some(node) => (200, json!({"door": node.client_listener, "district": node.zone})),
            None => (503, json!({"error": "no node is ready"})),
        }
    }

    /// Records a promotion; false if a higher fence, or another promotion under the same fence, was accepted before.
    fn accept_promotion(&self, group: String, promotion: AcceptedPromotion) -> bool {
        let mut state = self.0.lock().unwrap();
        let newest = state.promotions.get(&group).cloned().unwrap_or_default();
        let is_new = promotion.fence > newest.fence || promotion == newest;
        if is_new {
            state.promotions.insert(group, promotion);
        }
        is_new
    }

    async fn promote(&self, body: &Value) -> (u16, Value) {
        let text = |key: &str| body[key].as_str().unwrap_or_default().to_owned();
        let fence = body["fence"].as_u64().unwrap_or(0);
        let promotion = AcceptedPromotion { fence, node: text("node"), server: text("server") };
        if !self.accept_promotion(text("group"), promotion) {
            return (409, json!({"error": "a higher fence, or another server under this one, was promoted"}));
        }
        let order = json!({"fence": fence, "counts": body["counts"]});
        match post_once(&text("addr"), "/v1/promote", &order, PROMOTE_TIMEOUT).await {
            Ok((200, _)) => (200, json!({"promoted": true})),
            Ok((_, answer)) => (502, answer),
            Err(error) => (504, json!({"error": error.to_string()})),
        }
    }

    fn set_ready(&self, client_listener: &str, is_ready: bool) {
        let mut state = self.0.lock().unwrap();
        for node in state.nodes.iter_mut().filter(|node| node.client_listener == client_listener) {
            node.is_ready = is_ready;
        }
    }
}

/// Serves the platform until the process ends; nodes are given by zone and client listener.
pub async fn serve(addr: &str, nodes: Vec<(String, String)>) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr).await?;
    let platform = Platform::new(nodes);
    seam::spawn(poll_readiness(platform.clone()));
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let platform = platform.clone();
        seam::spawn(async move {
            let service = service_fn(move |request| answer(platform.clone(), request));
            let connection = hyper::server::conn::http1::Builder::new();
            let _ = connection.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Probes the readiness of every node periodically.
pub async fn poll_readiness(platform: Arc<Platform>) {
    loop {
        let listeners: Vec<String> = {
            let state = platform.0.lock().unwrap();
            state.nodes.iter().map(|node| node.client_listener.clone()).collect()
        };
        for listener in listeners {
            let platform = platform.clone();
            seam::spawn(async move {
                let request = JsonRequest { method: "GET", path: "/ready", body: &Value::Null, token: None };
                let answer = call_once(&listener, &request, READINESS_TIMEOUT).await;
                platform.set_ready(&listener, answer.is_ok_and(|(status, _)| status == 200));
            });
        }
        seam::sleep(READINESS_INTERVAL).await;
    }
}

async fn answer(
    platform: Arc<Platform>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), MAX_BODY).collect().await;
    let body = body.map(|collected| collected.to_bytes()).unwrap_or_default();
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let (status, answer) = platform.call(&path, &body).await;
    let mut response = Response::new(Full::new(Bytes::from(answer.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    Ok(response)
}
