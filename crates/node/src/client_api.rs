//! The client listener: the client API, and the platform's readiness check.
use quincehatch_core::{Error, ErrorCode};
use quincehatch_proxy::Proxy;
use quincehatch_proxy::listener::HttpRequest;
use quincehatch_proxy::request::error_json;
use quincehatch_proxy::tenants::ClientKey;
use serde_json::{Value, json};
use std::sync::Arc;

const HTTP_OK: u16 = 200;
const HTTP_SERVICE_UNAVAILABLE: u16 = 503;

/// Answers one request at the client listener with an HTTP status and a JSON body.
pub async fn answer(proxy: &Arc<Proxy>, request: HttpRequest) -> (u16, Value) {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/ready") => readiness_reply(proxy.readiness()),
        ("POST", path) => {
            let key = ClientKey::new(request.token.as_deref().unwrap_or_default().as_bytes());
            proxy.handle_with_key(path, &request.body, key).await
        }
        _ => {
            let error = ErrorCode::NoSuchCall.without_detail();
            (error.http_status(), error_json(&error))
        }
    }
}

fn readiness_reply(readiness: Result<Value, Error>) -> (u16, Value) {
    match readiness {
        Ok(body) => (HTTP_OK, body),
        Err(error) => {
            let body = json!({"ready": false, "error": {"code": error.code, "text": error.text}});
            (HTTP_SERVICE_UNAVAILABLE, body)
        }
    }
}
