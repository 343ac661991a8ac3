//! HTTP/1.1 listeners, on xitca-web: for clients and the platform, and for heartbeats and operators.
use crate::client_api::reply::error_json;
use quincehatch_core::{Error, ErrorCode};
use serde_json::Value;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use xitca_web::body::ResponseBody;
use xitca_web::error::{BodyOverFlow, Error as WebError};
use xitca_web::handler::body::Limit;
use xitca_web::handler::handler_service;
use xitca_web::http::{HeaderMap, HeaderValue, StatusCode, WebResponse, header};
use xitca_web::{App, WebContext, bytes::Bytes};

/// The maximum length of a body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// The time after which a connection without requests is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(120);
/// The HTTP status for a request whose task panicked.
const STATUS_INTERNAL_ERROR: u16 = 500;

/// A request that the listener received.
pub struct HttpRequest {
    /// The HTTP method.
    pub method: String,
    /// The path of the URL.
    pub path: String,
    /// The bearer token, if the request has one.
    pub token: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// A future of the HTTP status and JSON of a reply.
pub type JsonReply = Pin<Box<dyn Future<Output = (u16, Value)> + Send>>;
/// A handler that answers requests with status and JSON.
pub type JsonHandler = Arc<dyn Fn(HttpRequest) -> JsonReply + Send + Sync>;

/// A reply to be sent: JSON as text, with the optional headers.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: u16,
    /// JSON.
    pub body: String,
    /// Value of the header `retry-after`, in seconds.
    pub retry_after_s: Option<u64>,
    /// Value of the header `location`.
    pub location: Option<String>,
}

impl From<(u16, Value)> for HttpResponse {
    fn from((status, body): (u16, Value)) -> HttpResponse {
        HttpResponse { status, body: body.to_string(), retry_after_s: None, location: None }
    }
}

/// A reply that is being made.
pub type HttpReply = Pin<Box<dyn Future<Output = HttpResponse> + Send>>;
/// A handler that answers requests.
pub type HttpHandler = Arc<dyn Fn(HttpRequest) -> HttpReply + Send + Sync>;

#[derive(Clone)]
struct ListenerState {
    handler: HttpHandler,
    runtime: tokio::runtime::Handle,
}

/// Returns the complete body. A body that is too long is rejected; an incomplete one may be sent again.
fn complete_body<const MAX: usize>(
    headers: &HeaderMap,
    body: Result<(Bytes, Limit<MAX>), WebError>,
) -> Result<Bytes, Error> {
    let incomplete = || ErrorCode::NotReady.with_detail("the body is incomplete");
    let (body, _) = body.map_err(|error| match error.upcast().downcast_ref::<BodyOverFlow>() {
        Some(_) => ErrorCode::TooLarge.with_detail(format_args!("the body is longer than {MAX} bytes")),
        None => incomplete(),
    })?;
    match content_length(headers) {
        Some(length) if body.len() < length => Err(incomplete()),
        _ => Ok(body),
    }
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn bearer_token(headers: &HeaderMap) -> Option<String> {
    let authorization = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    authorization.strip_prefix("Bearer ").map(str::to_owned)
}

async fn handle_any<const MAX: usize>(
    context: &WebContext<'_, ListenerState>,
    body: Result<(Bytes, Limit<MAX>), WebError>,
) -> Result<WebResponse, WebError> {
    let request = context.req();
    let state = context.state();
    let reply = match complete_body(request.headers(), body) {
        Err(error) => HttpResponse::from((error.http_status(), error_json(&error))),
        Ok(body) => {
            let http_request = HttpRequest {
                method: request.method().as_str().to_owned(),
                path: request.uri().path().to_owned(),
                token: bearer_token(request.headers()),
                body,
            };
            // The request runs in a task of its own, so that a client that disconnects does not cancel it.
            let running = state.runtime.spawn((state.handler)(http_request));
            running.await.unwrap_or_else(|_| {
                let error = ErrorCode::NotReady
                    .with_detail("the request ended without a reply")
                    .with_unknown_outcome();
                HttpResponse::from((STATUS_INTERNAL_ERROR, error_json(&error)))
            })
        }
    };
    Ok(web_response(reply))
}

fn web_response(reply: HttpResponse) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::from(reply.body));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(seconds) = reply.retry_after_s {
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(location) = reply.location.and_then(|location| HeaderValue::try_from(location).ok()) {
        headers.insert(header::LOCATION, location);
    }
    response
}

/// A handle of an open listener. Dropping the handle leaves the listener open; see [`ListenerHandle::close`].
pub struct ListenerHandle {
    stop: Box<dyn Fn() + Send + Sync>,
}

impl ListenerHandle {
    /// Stops accepting requests. Requests in progress are completed.
    pub fn close(&self) {
        (self.stop)();
    }
}

/// Listens on `addr` with the given number of worker threads.
///
/// `PortInUse` if the listener cannot be opened.
pub fn listen(
    addr: &str,
    threads: usize,
    handler: JsonHandler,
    runtime: &tokio::runtime::Handle,
) -> Result<ListenerHandle, Error> {
    let http_handler: HttpHandler = Arc::new(move |request| {
        let reply = handler(request);
        Box::pin(async move { reply.await.into() })
    });
    listen_with_body_limit::<MAX_BODY_BYTES>(addr, threads, http_handler, runtime)
}

/// Listens on `addr` as [`listen`] does, with bodies of up to `MAX` bytes.
///
/// `PortInUse` if the listener cannot be opened.
pub fn listen_with_body_limit<const MAX: usize>(
    addr: &str,
    threads: usize,
    handler: HttpHandler,
    runtime: &tokio::runtime::Handle,
) -> Result<ListenerHandle, Error> {
    let in_use = |error: std::io::Error| ErrorCode::PortInUse.with_detail(format_args!("{addr}: {error}"));
    let socket = TcpListener::bind(addr).map_err(in_use)?;
    let mut server = App::new()
        .with_state(ListenerState { handler, runtime: runtime.clone() })
        .at("/{*any}", handler_service(handle_any::<MAX>))
        .serve()
        .worker_threads(threads)
        .disable_signal()
        .keep_alive_timeout(KEEP_ALIVE)
        .listen(socket)
        .map_err(in_use)?
        .run();
    let handle = server.handle().map_err(in_use)?;
    std::thread::Builder::new().name("listener".into()).spawn(move || server.wait()).map_err(in_use)?;
    Ok(ListenerHandle { stop: Box::new(move || handle.stop(true)) })
}
