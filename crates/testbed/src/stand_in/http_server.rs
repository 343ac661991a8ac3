//! The stand-in's HTTP side: one connection is one link with its own context (§3.1).
use super::{StandIn, calls};
use crate::statement::ConnectionState;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::{TcpListener, TcpStream};

/// A call that must not be answered: the link is reset instead.
#[derive(Debug)]
pub struct ConnectionReset;
impl std::fmt::Display for ConnectionReset {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("cut")
    }
}
impl std::error::Error for ConnectionReset {}

pub async fn accept_connections(s: Arc<StandIn>, lst: TcpListener) -> std::io::Result<()> {
    loop {
        let Ok((sock, _)) = lst.accept().await else { continue };
        tokio::spawn(serve_connection(s.clone(), sock));
    }
}

async fn serve_connection(s: Arc<StandIn>, sock: TcpStream) {
    let _ = sock.set_nodelay(true);
    // Closing without lingering sends a reset: what a rebooting server does to its links.
    let _ = socket2::SockRef::from(&sock).set_linger(Some(std::time::Duration::ZERO));
    s.faults.wait_while(&s.faults.dark).await;
    s.connections.fetch_add(1, Ordering::SeqCst);
    let ctx = Arc::new(tokio::sync::Mutex::new(ConnectionState::default()));
    let born = s.faults.reset_count.load(Ordering::SeqCst);
    let s2 = s.clone();
    let svc = service_fn(move |req| serve_request(s2.clone(), ctx.clone(), req));
    let conn = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(sock), svc);
    tokio::pin!(conn);
    loop {
        let changed = s.faults.changed.notified();
        tokio::select! {
            _ = &mut conn => break,
            () = changed => if s.faults.reset_count.load(Ordering::SeqCst) != born { break },
        }
    }
    s.connections.fetch_sub(1, Ordering::SeqCst);
}

async fn serve_request(
    s: Arc<StandIn>,
    ctx: Arc<tokio::sync::Mutex<ConnectionState>>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ConnectionReset> {
    let path = req.uri().path().to_owned();
    let lab = path.starts_with("/lab/");
    if !lab {
        s.faults.wait_while(&s.faults.dark).await;
    }
    let body =
        Limited::new(req.into_body(), 4 << 20).collect().await.map_err(|_| ConnectionReset)?.to_bytes();
    let body: Value = if body.is_empty() {
        Value::Null
    } else {
        serde_json::from_slice(&body).map_err(|_| ConnectionReset)?
    };
    let v = calls::answer_call(&s, &ctx, &path, body).await?;
    if !lab {
        s.faults.wait_while(&s.faults.dark).await;
    }
    let st = if v.get("error").is_some() { 409 } else { 200 };
    let mut r = Response::new(Full::new(Bytes::from(v.to_string())));
    *r.status_mut() = hyper::StatusCode::from_u16(st).map_err(|_| ConnectionReset)?;
    Ok(r)
}
