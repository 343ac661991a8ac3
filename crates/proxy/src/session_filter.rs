//! Handles the requests that open, change and close sessions, and locks a session for one request at a time.
use crate::client_api::reply::{RequestResult, Success};
use crate::client_api::request::{ClientRequest, Operation};
use crate::services::Services;
use crate::session::sessions::Session;
use crate::session::state::{MAX_TEXTS, SessionState};
use quincehatch_core::{Error, ErrorCode, Millis, Name, Version};
use quincehatch_runtime::now;
use std::sync::Arc;
use tokio::sync::OwnedMutexGuard;

/// Suggested wait before a client retries after there were too many sessions.
const SESSIONS_RETRY_AFTER: Millis = 1_000;
/// Suggested wait before a client retries after another request had the session locked.
const BUSY_RETRY_AFTER: Millis = 100;
/// The idle time after which a session is evicted from this node; its replicas remain.
const IDLE_TIMEOUT: Millis = 60_000;

/// Locks the request's session and executes session operations. Returns `None` if the request must go on to a server.
pub async fn handle_session(services: &Arc<Services>, request: &mut ClientRequest) -> Option<RequestResult> {
    if request.operation == Operation::Open {
        return Some(open_session(services, request).await);
    }
    let id = request.body.session.clone()?;
    let Some(version) = request.body.version else {
        let detail = "a request in a session must give the version from the last reply";
        return Some(Err(ErrorCode::Malformed.with_detail(detail)));
    };
    match lock_session(services, &id, version).await {
        Err(error) => return Some(Err(error)),
        Ok(session) => request.session = Some(session),
    }
    let session = request.session.as_deref_mut()?;
    session.last_used = now();
    let in_transaction = session.transaction.is_some();
    match request.operation {
        Operation::Set | Operation::Prepare | Operation::Order if in_transaction => {
            Some(Err(ErrorCode::InTransaction.without_detail()))
        }
        Operation::Set | Operation::Prepare => Some(change_session(services, request).await),
        Operation::Close => Some(close_session(services, session).await),
        _ => None,
    }
}

async fn open_session(services: &Arc<Services>, request: &mut ClientRequest) -> RequestResult {
    let configuration = request.cluster_state.configuration.as_ref();
    let max_sessions = configuration.map_or(0, |configuration| configuration.queue.max_sessions as usize);
    if services.sessions.len() >= max_sessions {
        let error = ErrorCode::TooManySessions.without_detail();
        return Err(error.with_retry_after(SESSIONS_RETRY_AFTER));
    }
    let id: Name = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..)).into();
    let state = SessionState { id, ..Default::default() }.next_version(0, false);
    services.session_replicas.store(state.clone()).await?;
    let session = services.sessions.insert(state, now(), false);
    request.session = session.try_lock_owned().ok();
    Ok(Success::Accepted)
}

/// Locks the session for this request alone, with a state that includes the version that the client names.
async fn lock_session(
    services: &Services,
    id: &str,
    version: Version,
) -> Result<OwnedMutexGuard<Session>, Error> {
    let closed = || ErrorCode::SessionUnknown.with_detail("the session was closed");
    let shared = match services.sessions.get(id) {
        Some(shared) => shared,
        None => {
            let found = services.session_replicas.find(id, version).await?;
            let state = found.ok_or_else(|| ErrorCode::SessionUnknown.without_detail())?;
            if state.closed {
                return Err(closed());
            }
            services.sessions.insert(state, now(), true)
        }
    };
    let busy = |_| ErrorCode::SessionBusy.without_detail().with_retry_after(BUSY_RETRY_AFTER);
    let mut session = shared.try_lock_owned().map_err(busy)?;
    if !session.state.includes(version) {
        let found = services.session_replicas.find(id, version).await?;
        let newer = found.filter(|state| state.includes(version));
        session.state = newer.ok_or_else(|| ErrorCode::SessionLost.without_detail())?;
        session.adopted = true;
    }
    if session.state.closed {
        return Err(closed());
    }
    Ok(session)
}

async fn close_session(services: &Services, session: &mut Session) -> RequestResult {
    session.transaction = None;
    let mut state = session.state.next_version(session.highest_attempted, session.adopted);
    state.closed = true;
    session.state = state.clone();
    services.sessions.remove(&state.id);
    services.session_replicas.store(state).await?;
    Ok(Success::Accepted)
}

/// Adds a setting or a prepared statement. It takes effect only once a majority of the session's replicas stores it.
async fn change_session(services: &Services, request: &mut ClientRequest) -> RequestResult {
    let text = request.text().to_owned();
    let name = request.body.name.clone();
    let operation = request.operation;
    let Some(session) = request.session.as_deref_mut() else {
        return Err(ErrorCode::SessionUnknown.without_detail());
    };
    let mut state = session.state.next_version(session.highest_attempted, session.adopted);
    if operation == Operation::Set {
        state.settings.push(text);
    } else if let Some(name) = name {
        state.prepared.retain(|(prepared, _)| *prepared != name);
        state.prepared.push((name, text));
    }
    if state.settings.len() > MAX_TEXTS || state.prepared.len() > MAX_TEXTS {
        let detail =
            format_args!("a session has at most {MAX_TEXTS} settings and {MAX_TEXTS} prepared statements");
        return Err(ErrorCode::TooLarge.with_detail(detail));
    }
    // An update whose result is unknown may remain on a replica; the next version supersedes it.
    session.highest_attempted = state.version;
    services.session_replicas.store(state.clone()).await?;
    session.adopted = false;
    session.state = state;
    Ok(Success::Accepted)
}

/// Evicts idle sessions from this node. Their replicas remain.
pub fn evict_idle_sessions(services: &Services) {
    for shared in services.sessions.all() {
        let Ok(session) = shared.try_lock() else { continue };
        if session.transaction.is_none() && now() > session.last_used + IDLE_TIMEOUT {
            services.sessions.remove(&session.state.id);
        }
    }
}
