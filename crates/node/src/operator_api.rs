//! What comes to the doors: origins' visits, the platform's question, beats, operators (§4.1, §8).
use crate::{ClusterNode, gossip, ops};
use quincehatch_core::{Error, ErrorCode, ServerHeartbeat};
use quincehatch_proxy::Proxy;
use quincehatch_proxy::listener::HttpRequest;
use quincehatch_proxy::request::error_json;
use serde_json::{Value, json};
use std::sync::Arc;

fn said(r: Result<Value, Error>) -> (u16, Value) {
    r.map_or_else(|b| (b.http_status(), error_json(&b)), |v| (200, v))
}

/// The door of origins and the platform.
pub async fn origin(n: &Arc<Proxy>, k: HttpRequest) -> (u16, Value) {
    match (k.method.as_str(), k.path.as_str()) {
        ("GET", "/ready") => {
            let r = n.readiness();
            let st = if r.is_ok() { 200 } else { 503 };
            (st, r.unwrap_or_else(|b| json!({"ready": false, "error": {"code": b.code, "text": b.text}})))
        }
        ("POST", p) => n.handle(p, &k.body).await,
        _ => said(Err(ErrorCode::NoSuchCall.without_detail())),
    }
}

/// The desk of servers and operators.
pub async fn answer(f: &Arc<ClusterNode>, k: HttpRequest) -> (u16, Value) {
    if k.path == "/beat" {
        let beat = serde_json::from_slice::<ServerHeartbeat>(&k.body)
            .map_err(|e| ErrorCode::Malformed.with_detail(e));
        return said(beat.and_then(|b| check_beat(&b).map(|()| b)).map(|b| {
            let news = gossip::record_heartbeat(f, b);
            json!({"news": news})
        }));
    }
    let Some(what) = k.path.strip_prefix("/op/") else {
        return said(Err(ErrorCode::NoSuchCall.without_detail()));
    };
    if k.token.as_deref() != Some(f.proxy.settings.token.as_str()) {
        return said(Err(ErrorCode::Unauthorized.without_detail()));
    }
    let body: Result<Value, Error> = if k.body.is_empty() {
        Ok(json!({}))
    } else {
        serde_json::from_slice(&k.body).map_err(|e| ErrorCode::Malformed.with_detail(e))
    };
    match body {
        Ok(b) => said(ops::answer(f, what, &b).await),
        Err(b) => said(Err(b)),
    }
}

fn check_beat(b: &ServerHeartbeat) -> Result<(), Error> {
    let named = !b.server.is_empty() && b.server.len() <= 64 && b.labels.len() <= 32;
    let placed = b.addr.parse::<std::net::SocketAddr>().is_ok();
    if named && placed {
        Ok(())
    } else {
        Err(ErrorCode::Malformed.with_detail("a beat needs a server's name and ip:port"))
    }
}
