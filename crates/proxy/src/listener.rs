//! The HTTP doors, on xitca-web: one for origins and platform, one for servers' beats and operators (§4.1).
use crate::request::error_json as visit_json;
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

/// Longest body taken.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// A knock at a door.
pub struct HttpRequest {
    pub method: String,
    pub path: String,
    pub token: Option<String>,
    pub body: Bytes,
}

pub type Said = Pin<Box<dyn Future<Output = (u16, Value)> + Send>>;
pub type JsonHandler = Arc<dyn Fn(HttpRequest) -> Said + Send + Sync>;

/// An answer as it leaves: JSON as text, and when to come again.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpResponse {
    pub status: u16,
    pub body: String,
    pub retry_after_s: Option<u64>,
}

impl From<(u16, Value)> for HttpResponse {
    fn from((status, v): (u16, Value)) -> HttpResponse {
        HttpResponse { status, body: v.to_string(), retry_after_s: None }
    }
}

pub type HttpHandler =
    Arc<dyn Fn(HttpRequest) -> Pin<Box<dyn Future<Output = HttpResponse> + Send>> + Send + Sync>;

#[derive(Clone)]
struct ListenerState {
    answer: HttpHandler,
    rt: tokio::runtime::Handle,
}

/// The whole body. One that is too long is refused; one that broke off on its way may be sent again.
fn whole_body<const MAX: usize>(
    headers: &HeaderMap,
    body: Result<(Bytes, Limit<MAX>), WebError>,
) -> Result<Bytes, Error> {
    let broke_off = || ErrorCode::NotReady.with_detail("the body did not come whole");
    let (body, _) = body.map_err(|error| match error.upcast().downcast_ref::<BodyOverFlow>() {
        Some(_) => ErrorCode::TooLarge.with_detail(format_args!("a body may have {MAX} bytes")),
        None => broke_off(),
    })?;
    let announced = headers.get(header::CONTENT_LENGTH).and_then(|length| length.to_str().ok()?.parse().ok());
    match announced {
        Some(length) if body.len() < length => Err(broke_off()),
        _ => Ok(body),
    }
}

async fn any<const MAX: usize>(
    ctx: &WebContext<'_, ListenerState>,
    body: Result<(Bytes, Limit<MAX>), WebError>,
) -> Result<WebResponse, WebError> {
    let req = ctx.req();
    let token = req
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|h| h.to_str().ok())
        .and_then(|h| h.strip_prefix("Bearer "))
        .map(str::to_owned);
    let (method, path) = (req.method().as_str().to_owned(), req.uri().path().to_owned());
    let door = ctx.state();
    let said = match whole_body(req.headers(), body) {
        Err(error) => HttpResponse::from((error.http_status(), visit_json(&error))),
        Ok(body) => {
            // The visit runs in a task of its own: an origin that hangs up does not cut it short.
            let fut = (door.answer)(HttpRequest { method, path, token, body });
            door.rt.spawn(fut).await.unwrap_or_else(|_| {
                let b = ErrorCode::NotReady.with_detail("the visit broke off").with_unknown_outcome();
                (500, visit_json(&b)).into()
            })
        }
    };
    let mut rep = WebResponse::new(ResponseBody::from(said.body));
    *rep.status_mut() = StatusCode::from_u16(said.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    rep.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(s) = said.retry_after_s {
        rep.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(s));
    }
    Ok(rep)
}

/// A door that is open; dropping it leaves it open until [`Open::close`].
pub struct ListenerHandle {
    stop: Box<dyn Fn() + Send + Sync>,
}

impl ListenerHandle {
    pub fn close(&self) {
        (self.stop)();
    }
}

/// Listens on `addr`; a port in use is told before anything serves.
pub fn listen(
    addr: &str,
    threads: usize,
    answer: JsonHandler,
    rt: &tokio::runtime::Handle,
) -> Result<ListenerHandle, Error> {
    let plain: HttpHandler = Arc::new(move |k| {
        let said = answer(k);
        Box::pin(async move { said.await.into() })
    });
    listen_with_body_limit::<MAX_BODY_BYTES>(addr, threads, plain, rt)
}

/// The same for bodies of up to `MAX` bytes.
pub fn listen_with_body_limit<const MAX: usize>(
    addr: &str,
    threads: usize,
    answer: HttpHandler,
    rt: &tokio::runtime::Handle,
) -> Result<ListenerHandle, Error> {
    let in_use = |e: std::io::Error| ErrorCode::PortInUse.with_detail(format_args!("{addr}: {e}"));
    let lst = TcpListener::bind(addr).map_err(in_use)?;
    let state = ListenerState { answer, rt: rt.clone() };
    let mut fut = App::new()
        .with_state(state)
        .at("/{*any}", handler_service(any::<MAX>))
        .serve()
        .worker_threads(threads)
        .disable_signal()
        .keep_alive_timeout(Duration::from_secs(120))
        .listen(lst)
        .map_err(in_use)?
        .run();
    let handle = fut.handle().map_err(in_use)?;
    std::thread::Builder::new().name("door".into()).spawn(move || fut.wait()).map_err(in_use)?;
    Ok(ListenerHandle { stop: Box::new(move || handle.stop(true)) })
}
