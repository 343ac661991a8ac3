//! The task that serves one client session at a node, as the node's listener runs it.
use quincehatch_core::Millis;
use quincehatch_proxy::direct::{DirectProxy, DirectSession, SessionRequest, StatementResponse};
use quincehatch_proxy::tenants::ClientKey;
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// A node aborts a transaction that has been idle for this long.
pub const TRANSACTION_IDLE_MS: Millis = 3_000;

/// A request to the session's task at its node.
pub struct SessionCall {
    /// The request.
    pub request: SessionRequest,
    /// The channel for the response.
    pub reply_to: oneshot::Sender<StatementResponse>,
}

/// Opens a session at its node and serves its calls, as the node's listener does.
pub async fn serve_session(
    proxy: Arc<DirectProxy>,
    database: &'static str,
    mut calls: mpsc::UnboundedReceiver<SessionCall>,
    opened: oneshot::Sender<bool>,
) {
    let session = DirectSession::open(&proxy, database, ClientKey::NONE).await.ok();
    let _ = opened.send(session.is_some());
    let Some(mut session) = session else { return };
    loop {
        let call = if session.holds_connection() {
            let idle = Duration::from_millis(TRANSACTION_IDLE_MS);
            let Ok(call) = seam::timeout(idle, calls.recv()).await else {
                session.abort_transaction();
                continue;
            };
            call
        } else {
            calls.recv().await
        };
        let Some(SessionCall { request, reply_to }) = call else { return };
        let response = session.execute(request).await;
        let _ = reply_to.send(response);
    }
}
