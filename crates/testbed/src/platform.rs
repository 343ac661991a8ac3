//! The platform's stand-in (§3.4): hands origins to ready nodes of their district, and takes promotions from
//! one node at a time under a rising fence.
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use quincehatch_runtime::seam;
use quincehatch_wire::http::{JsonRequest, call_once, post_once};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

#[derive(Default)]
struct State {
    /// Nodes by district: door and whether it said it is ready.
    nodes: Vec<(String, String, bool)>,
    /// A group's newest fence, the node that used it and the server it named.
    fences: BTreeMap<String, (u64, String, String)>,
}

/// The platform's state, and what it does when it is called.
#[derive(Default)]
pub struct Platform(Mutex<State>);

impl Platform {
    pub fn new(nodes: Vec<(String, String)>) -> Arc<Platform> {
        let nodes = nodes.into_iter().map(|(d, a)| (d, a, false)).collect();
        Arc::new(Platform(Mutex::new(State { nodes, ..Default::default() })))
    }
    pub async fn call(&self, path: &str, b: &Value) -> (u16, Value) {
        match path {
            "/v1/promote" => promote(&self.0, b).await,
            "/v1/place" => place_client(&self.0, b["district"].as_str().unwrap_or_default()),
            _ => (404, json!({"error": "no such call"})),
        }
    }
}

pub async fn serve(addr: &str, nodes: Vec<(String, String)>) -> std::io::Result<()> {
    let lst = TcpListener::bind(addr).await?;
    let st = Platform::new(nodes);
    seam::spawn(poll_readiness(st.clone()));
    loop {
        let Ok((sock, _)) = lst.accept().await else { continue };
        let st = st.clone();
        seam::spawn(async move {
            let svc = service_fn(move |r| answer(st.clone(), r));
            let _ =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(sock), svc).await;
        });
    }
}

/// Asks every node whether it is ready, for ever.
pub async fn poll_readiness(st: Arc<Platform>) {
    loop {
        let doors: Vec<String> = st.0.lock().unwrap().nodes.iter().map(|n| n.1.clone()).collect();
        for d in doors {
            let st = st.clone();
            seam::spawn(async move {
                let c = JsonRequest { method: "GET", path: "/ready", body: &Value::Null, token: None };
                let ok = call_once(&d, &c, Duration::from_millis(400)).await.is_ok_and(|(s, _)| s == 200);
                st.0.lock().unwrap().nodes.iter_mut().filter(|n| n.1 == d).for_each(|n| n.2 = ok);
            });
        }
        seam::sleep(Duration::from_millis(250)).await;
    }
}

async fn answer(st: Arc<Platform>, r: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = r.uri().path().to_owned();
    let body = Limited::new(r.into_body(), 1 << 20).collect().await.map(|b| b.to_bytes()).unwrap_or_default();
    let (code, v) = st.call(&path, &serde_json::from_slice(&body).unwrap_or(Value::Null)).await;
    let mut rep = Response::new(Full::new(Bytes::from(v.to_string())));
    *rep.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    Ok(rep)
}

/// A ready node of the district; another's if it has none.
fn place_client(st: &Mutex<State>, district: &str) -> (u16, Value) {
    let st = st.lock().unwrap();
    let ready: Vec<_> = st.nodes.iter().filter(|n| n.2).collect();
    let near: Vec<_> = ready.iter().filter(|n| n.0 == district).collect();
    let pick = if near.is_empty() {
        ready.get(fastrand::usize(..ready.len().max(1))).copied()
    } else {
        near.get(fastrand::usize(..near.len())).map(|n| **n)
    };
    pick.map_or((503, json!({"error": "no node is ready"})), |n| (200, json!({"door": n.1, "district": n.0})))
}

async fn promote(st: &Mutex<State>, b: &Value) -> (u16, Value) {
    let t = |k: &str| b[k].as_str().unwrap_or_default().to_owned();
    let (group, server, addr, node, fence) =
        (t("group"), t("server"), t("addr"), t("node"), b["fence"].as_u64().unwrap_or(0));
    {
        let mut st = st.lock().unwrap();
        let now = st.fences.get(&group).cloned().unwrap_or_default();
        let same = now == (fence, node.clone(), server.clone());
        if fence < now.0 || (fence == now.0 && !same) {
            return (409, json!({"error": "a higher fence, or another server under this one, was promoted"}));
        }
        st.fences.insert(group, (fence, node, server));
    }
    match post_once(
        &addr,
        "/v1/promote",
        &json!({"fence": fence, "counts": b["counts"]}),
        Duration::from_millis(700),
    )
    .await
    {
        Ok((200, _)) => (200, json!({"promoted": true})),
        Ok((_, v)) => (502, v),
        Err(e) => (504, json!({"error": e.to_string()})),
    }
}
