//! The HTTP server of a stand-in: each TCP connection has its own database connection state.
use super::{StandIn, calls};
use crate::statement::ConnectionState;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;

/// Largest body of a request, in bytes.
const MAX_BODY: usize = 4 << 20;

/// A call that must not be answered: its connection is reset instead.
#[derive(Debug)]
pub struct ConnectionReset;

impl std::fmt::Display for ConnectionReset {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("connection reset")
    }
}

impl std::error::Error for ConnectionReset {}

/// Accepts connections until the process ends.
pub async fn accept_connections(server: Arc<StandIn>, listener: TcpListener) -> std::io::Result<()> {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        tokio::spawn(serve_connection(server.clone(), stream));
    }
}

async fn serve_connection(server: Arc<StandIn>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    // Closing without lingering sends a reset, as a rebooting server does.
    let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    server.faults.wait_while(&server.faults.dark).await;
    server.connections.fetch_add(1, Ordering::SeqCst);
    let state = Arc::new(Mutex::new(ConnectionState::default()));
    let resets_before = server.faults.reset_count.load(Ordering::SeqCst);
    let shared = server.clone();
    let service = service_fn(move |request| serve_request(shared.clone(), state.clone(), request));
    let served = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    loop {
        let changed = server.faults.changed.notified();
        tokio::select! {
            _ = &mut served => break,
            () = changed => if server.faults.reset_count.load(Ordering::SeqCst) != resets_before { break },
        }
    }
    server.connections.fetch_sub(1, Ordering::SeqCst);
}

async fn serve_request(
    server: Arc<StandIn>,
    state: Arc<Mutex<ConnectionState>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, ConnectionReset> {
    let path = request.uri().path().to_owned();
    // Calls of the test bench bypass injected faults.
    let is_lab_call = path.starts_with("/lab/");
    if !is_lab_call {
        server.faults.wait_while(&server.faults.dark).await;
    }
    let limited = Limited::new(request.into_body(), MAX_BODY);
    let bytes = limited.collect().await.map_err(|_| ConnectionReset)?.to_bytes();
    let body = if bytes.is_empty() {
        Value::Null
    } else {
        serde_json::from_slice(&bytes).map_err(|_| ConnectionReset)?
    };
    let reply = calls::answer_call(&server, &state, &path, body).await?;
    if !is_lab_call {
        server.faults.wait_while(&server.faults.dark).await;
    }
    let mut response = Response::new(Full::new(Bytes::from(reply.to_string())));
    if reply.get("error").is_some() {
        *response.status_mut() = StatusCode::CONFLICT;
    }
    Ok(response)
}
