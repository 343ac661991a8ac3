//! The HTTP server that exposes a process's metrics.
use crate::metric::{Metric, render};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

/// The media type of the rendered metrics.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// The maximum number of open connections; further connections wait to be accepted.
const MAX_CONNECTIONS: usize = 4;
/// A connection whose request headers have not arrived within this time is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a failed accept, which mostly means that the process has run out of file descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Answers `GET path` with the metrics that `collect` reads from the process's state, until the task is dropped.
pub async fn serve<Collect, Collected>(listener: TcpListener, path: String, collect: Collect)
where
    Collect: Fn() -> Collected + Clone + Send + Sync + 'static,
    Collected: Future<Output = Vec<Metric>> + Send,
{
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let (path, collect) = (path.clone(), collect.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let service = service_fn(move |request| handle_request(request, path.clone(), collect.clone()));
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .keep_alive(false)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(target: "metrics", "connection failed: {error}");
            }
        });
    }
}

async fn handle_request<Collect, Collected>(
    request: Request<Incoming>,
    path: String,
    collect: Collect,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    Collect: Fn() -> Collected,
    Collected: Future<Output = Vec<Metric>>,
{
    if request.method() != Method::GET || request.uri().path() != path {
        let mut response = Response::new(Full::default());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return Ok(response);
    }
    let mut response = Response::new(Full::new(Bytes::from(render(collect().await))));
    response.headers_mut().insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static(OPEN_METRICS));
    Ok(response)
}
