//! One HTTP/1.1 connection, over TCP or in the simulator.
use super::error::{io_error, other};
use super::keepalive::{KeepaliveExt, KeepaliveSettings};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quincehatch_runtime::seam::{self, OnDisconnect, VirtualConnection};
use serde_json::Value;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::net::TcpStream;

/// The longest reply body accepted from a server, in bytes.
pub const MAX_REPLY_BYTES: usize = 4 << 20;

/// A request to send over an [`HttpConnection`].
pub struct JsonRequest<'a> {
    /// The HTTP method, in capitals.
    pub method: &'a str,
    /// The path, with its query if there is one.
    pub path: &'a str,
    /// The JSON body; `Value::Null` for none.
    pub body: &'a Value,
    /// The bearer token, if the call needs one.
    pub token: Option<&'a str>,
}

/// An open HTTP connection.
pub struct HttpConnection {
    transport: Transport,
    close_state: Arc<CloseState>,
}

enum Transport {
    Tcp { sender: SendRequest<Full<Bytes>>, host: String },
    Virtual(Arc<dyn VirtualConnection>),
}

/// Distinguishes a disconnect that is evidence about the peer's health from one that is not.
#[derive(Default)]
struct CloseState {
    /// This side closes the connection, or asked the peer to.
    closed_locally: AtomicBool,
    /// A request is in flight: its caller receives the error, so the disconnect is not reported a second time.
    in_flight: AtomicBool,
}

impl CloseState {
    /// Whether a disconnect now must be reported as evidence about the peer.
    fn is_unexpected(&self) -> bool {
        !self.closed_locally.load(Ordering::SeqCst) && !self.in_flight.load(Ordering::SeqCst)
    }
}

/// Marks a connection as closed by this side.
#[derive(Clone)]
pub struct LocalCloseMarker(Arc<CloseState>);

impl LocalCloseMarker {
    /// Marks the connection: from now on its end is no evidence about the peer.
    pub fn mark_local_close(&self) {
        self.0.closed_locally.store(true, Ordering::SeqCst);
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.close_state.closed_locally.store(true, Ordering::SeqCst);
        if let Transport::Virtual(connection) = &self.transport {
            connection.close();
        }
    }
}

impl HttpConnection {
    /// Opens a connection to `addr`, `host:port`.
    ///
    /// # Errors
    /// The error of the kernel or of the HTTP handshake.
    pub async fn open(addr: &str, keepalive: Option<KeepaliveSettings>) -> io::Result<Self> {
        Self::open_with_disconnect_callback(addr, keepalive, Box::new(|_| ())).await
    }

    /// Opens a connection whose unexpected end is reported.
    ///
    /// `on_disconnect` is called when the idle connection breaks with an error of the kernel: a reset, or a time-out of
    /// the keep-alive probes. An orderly close is not reported.
    ///
    /// # Errors
    /// The error of the kernel or of the HTTP handshake.
    pub async fn open_with_disconnect_callback(
        addr: &str,
        keepalive: Option<KeepaliveSettings>,
        on_disconnect: OnDisconnect,
    ) -> io::Result<Self> {
        let close_state = Arc::new(CloseState::default());
        let on_disconnect = report_if_unexpected(close_state.clone(), on_disconnect);
        let transport = match seam::current_world() {
            Some(world) => Transport::Virtual(world.connect(addr, on_disconnect).await?),
            None => open_tcp(addr, keepalive, on_disconnect).await?,
        };
        Ok(Self { transport, close_state })
    }

    /// Returns a marker that outlives the borrow of this connection.
    pub fn local_close_marker(&self) -> LocalCloseMarker {
        LocalCloseMarker(self.close_state.clone())
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        match &self.transport {
            Transport::Tcp { sender, .. } => sender.is_closed(),
            Transport::Virtual(connection) => connection.is_closed(),
        }
    }

    /// Sends the request; returns the status and the JSON body of the reply. After an error the connection must not be
    /// used again.
    ///
    /// # Errors
    /// The kernel's error, or an error for a reply that is not HTTP, not JSON or longer than [`MAX_REPLY_BYTES`].
    pub async fn call(&mut self, request: &JsonRequest<'_>) -> io::Result<(u16, Value)> {
        self.close_state.in_flight.store(true, Ordering::SeqCst);
        let reply = self.exchange(request).await;
        if reply.is_ok() {
            self.close_state.in_flight.store(false, Ordering::SeqCst);
        }
        reply
    }

    async fn exchange(&mut self, request: &JsonRequest<'_>) -> io::Result<(u16, Value)> {
        if let Transport::Virtual(connection) = &self.transport {
            let token = request.token.map(str::to_owned);
            return connection.request(request.path.to_owned(), request.body.clone(), token).await;
        }
        let reply = self.send(request, &[]).await?;
        if reply.body.is_empty() {
            return Ok((reply.status, Value::Null));
        }
        let body = serde_json::from_slice(&reply.body).map_err(other)?;
        Ok((reply.status, body))
    }

    /// Sends the request with additional headers; returns the status of the reply alone.
    pub(super) async fn call_for_status(
        &mut self,
        request: &JsonRequest<'_>,
        headers: &[(&str, &str)],
    ) -> io::Result<u16> {
        let reply = self.send(request, headers).await?;
        Ok(reply.status)
    }

    async fn send(&mut self, request: &JsonRequest<'_>, headers: &[(&str, &str)]) -> io::Result<RawReply> {
        let Transport::Tcp { sender, host } = &mut self.transport else {
            return Err(other("headers are sent over real connections only"));
        };
        sender.ready().await.map_err(other)?;
        let request = encode_request(host, request, headers)?;
        let reply = sender.send_request(request).await.map_err(io_error)?;
        let status = reply.status().as_u16();
        let body =
            Limited::new(reply.into_body(), MAX_REPLY_BYTES).collect().await.map_err(other)?.to_bytes();
        Ok(RawReply { status, body })
    }
}

/// A reply whose body is not decoded yet.
struct RawReply {
    status: u16,
    body: Bytes,
}

fn report_if_unexpected(state: Arc<CloseState>, on_disconnect: OnDisconnect) -> OnDisconnect {
    Box::new(move |error| {
        if state.is_unexpected() {
            on_disconnect(error);
        }
    })
}

async fn open_tcp(
    addr: &str,
    keepalive: Option<KeepaliveSettings>,
    on_disconnect: OnDisconnect,
) -> io::Result<Transport> {
    let stream = TcpStream::connect(addr).await?;
    match keepalive {
        Some(settings) => stream.apply_keepalive(settings)?,
        None => stream.set_nodelay(true)?,
    }
    let (sender, driver) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(other)?;
    tokio::spawn(async move {
        if let Err(error) = driver.await {
            on_disconnect(io_error(error));
        }
    });
    Ok(Transport::Tcp { sender, host: addr.to_owned() })
}

fn encode_request(
    host: &str,
    request: &JsonRequest<'_>,
    headers: &[(&str, &str)],
) -> io::Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(request.method)
        .uri(request.path)
        .header("host", host)
        .header("content-type", "application/json");
    if let Some(token) = request.token {
        builder = builder.header("authorization", format!("Bearer {token}"));
    }
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let body = if request.body.is_null() { Bytes::new() } else { Bytes::from(request.body.to_string()) };
    builder.body(Full::new(body)).map_err(other)
}
