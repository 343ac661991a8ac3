//! One statement outside a transaction (§4.6, §4.7, §4.10).
use crate::direct::command::{StatementError, StatementResponse};
use crate::direct::connection::{ConnectionError, Values, clean, not_run};
use crate::direct::run::{Statement, StatementAttempt, acked, lost, once, seen, watched};
use crate::direct::{DirectProxy, ResolvedRoute, choose, pool};
use crate::ports::{RejectReason, ServerReply, TransactionState};
use crate::registry::ServerEntry;
use quincehatch_core::{Error, ErrorCode, Millis};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::pin::pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Servers a lookup is brought to at most.
const TRIES: usize = 4;
/// How long a server whose slots are all taken is left alone, at least.
const BUSY: Millis = 3;
/// No read is asked a second time sooner.
const SOON: Millis = 60;

pub fn told(said: ServerReply, stage: TransactionState) -> StatementResponse {
    let ended = match said.rejection {
        Some((no, text)) => Err(StatementError::Server(no, text)),
        // A success without a stamp is none (§1 N4).
        None => said.stamp.map(Some).ok_or_else(|| {
            StatementError::Proxy(ErrorCode::InvalidReply.with_detail("no stamp").with_unknown_outcome())
        }),
    };
    let rows = if ended.is_ok() { said.rows } else { Vec::new() };
    StatementResponse { rows, result: ended, transaction_state: stage, log_end: said.log_end }
}

/// The time within which something must be begun; after it the visit is declined at once.
pub fn patience(way: &ResolvedRoute) -> Millis {
    way.aim.min(way.timeout)
}

pub async fn pause(n: usize) {
    let most = (BUSY << n.min(4)).max(2);
    seam::sleep(Duration::from_millis(BUSY + fastrand::u64(0..most))).await;
}

/// Servers that a visit was brought to.
type Tried = Mutex<Vec<Arc<ServerEntry>>>;

/// One statement where its rule says. A read that is not answered in half its aim is asked a second time, a lookup at
/// another server, and the first good answer counts; no more than a share of all are (§4.7).
pub async fn run(
    held: &DirectProxy,
    way: &ResolvedRoute,
    values: &Values,
    s: &Statement,
) -> StatementResponse {
    held.proxy.retry_budget.earn();
    let tried = Tried::default();
    match (s.write, way.lead) {
        (true, _) => on_lead(held, way, values, s).await,
        (_, true) => twice(held, way, || on_lead(held, way, values, s)).await,
        _ => twice(held, way, || lookup(held, way, values, s, &tried)).await,
    }
}

async fn twice<F: Future<Output = StatementResponse>>(
    held: &DirectProxy,
    way: &ResolvedRoute,
    ask: impl Fn() -> F,
) -> StatementResponse {
    let mut a = pin!(ask());
    let soon = Duration::from_millis((way.aim / 2).max(SOON));
    if let Ok(t) = seam::timeout(soon, a.as_mut()).await {
        return t;
    }
    if !held.proxy.retry_budget.try_spend() {
        return a.await;
    }
    let mut b = pin!(ask());
    match seam::select_first(a.as_mut(), b.as_mut()).await {
        Ok(t) | Err(t) if t.result.is_ok() => t,
        Ok(_) => b.await,
        Err(_) => a.await,
    }
}

/// On the lead: orders, and reads that may miss nothing.
async fn on_lead(
    held: &DirectProxy,
    way: &ResolvedRoute,
    values: &Values,
    s: &Statement,
) -> StatementResponse {
    let began = now();
    let (patient, until) = (began + patience(way), began + way.timeout);
    let mut n = 0;
    let mut why = ErrorCode::ConnectionsBusy.without_detail();
    loop {
        // Work is counted before the lead is looked up: a hand-over either sees it or is seen (§5.5).
        let work = held.proxy.registry.in_flight.begin(&way.group);
        let row = match choose::lead(held, &way.group, patient).await {
            Ok(r) => r,
            Err(b) => return StatementResponse::failed(b, TransactionState::Idle),
        };
        let w = watched(held, &row, way);
        let ran = match pool::check_out(held, &row, values, way.priority, patient).await {
            Err(e) => {
                why = e.code().without_detail();
                None
            }
            Ok(mut lent) => match (choose::takes(held, &way.group, &row), lent.connection.as_mut()) {
                (Some(fence), Some(link)) => {
                    let asked = now();
                    let ran = once(&w, link, values, false, s, None, until).await;
                    Some((ran, lent, asked, fence))
                }
                _ => {
                    lent.check_in();
                    None
                }
            },
        };
        match ran {
            None => {}
            Some((StatementAttempt::Said(said), lent, asked, fence)) => {
                seen(held, way, &row, asked, &said);
                if clean(&said) {
                    lent.check_in();
                }
                match said.rejection.as_ref().map(|n| n.0) {
                    Some(no) if not_run(no) => {
                        why = declined(no);
                        if no == RejectReason::NotPrimary {
                            row.note_not_primary(now());
                        }
                    }
                    _ if s.write => {
                        return match acked(held, way, fence, said) {
                            Ok(said) => told(said, TransactionState::Idle),
                            Err(b) => StatementResponse::failed(b, TransactionState::Idle),
                        };
                    }
                    _ => return told(said, TransactionState::Idle),
                }
            }
            Some((StatementAttempt::NotSent(l), ..)) => why = lost(&l, false),
            Some((StatementAttempt::Lost(l), ..)) => {
                let again = seam::injected_bug("held-resend") && !matches!(l, ConnectionError::TimedOut);
                if (s.write && !again) || matches!(l, ConnectionError::TimedOut) {
                    return StatementResponse::failed(lost(&l, s.write), TransactionState::Idle);
                }
                why = lost(&l, false);
            }
        }
        drop(work);
        if now() >= patient {
            return StatementResponse::failed(why.with_retry_after(100), TransactionState::Idle);
        }
        pause(n).await;
        n += 1;
    }
}

pub fn declined(no: RejectReason) -> Error {
    match no {
        RejectReason::Busy | RejectReason::TooManyConnections => {
            ErrorCode::ConnectionsBusy.with_detail("the server has no slot left")
        }
        RejectReason::Behind => ErrorCode::Stale.without_detail(),
        RejectReason::NotPrimary => ErrorCode::NoPrimary.without_detail(),
        _ => ErrorCode::ServerFailed.without_detail(),
    }
    .with_retry_after(100)
}

/// On a replica that is fresh enough, or on the lead.
async fn lookup(
    held: &DirectProxy,
    way: &ResolvedRoute,
    values: &Values,
    s: &Statement,
    tried: &Tried,
) -> StatementResponse {
    let began = now();
    let (patient, until) = (began + patience(way), began + way.timeout);
    let mut why = ErrorCode::AllReplicasEjected.without_detail();
    let mut n = 0;
    loop {
        let place = {
            let mut t = tried.lock().unwrap();
            let place = choose::lookup(held, way, &t, n == 0);
            t.extend(place.iter().map(|p| p.row.clone()));
            place
        };
        let Some(choose::ReadTarget { row, floor }) = place else {
            if now() >= patient || tried.lock().unwrap().len() > TRIES {
                return StatementResponse::failed(why.with_retry_after(100), TransactionState::Idle);
            }
            tried.lock().unwrap().clear();
            pause(n).await;
            n += 1;
            continue;
        };
        let w = watched(held, &row, way);
        match pool::check_out(held, &row, values, way.priority, patient).await {
            Err(e) => why = e.code().without_detail(),
            Ok(lent) if floor.is_none() && choose::takes(held, &way.group, &row).is_none() => lent.check_in(),
            Ok(mut lent) => {
                let asked = now();
                let Some(link) = lent.connection.as_mut() else { continue };
                match once(&w, link, values, false, s, floor, until).await {
                    StatementAttempt::Said(said) => {
                        seen(held, way, &row, asked, &said);
                        if clean(&said) {
                            lent.check_in();
                        }
                        match said.rejection {
                            Some((no, _)) if not_run(no) => why = declined(no),
                            Some((RejectReason::Failed, _)) if now() < patient => {
                                why = ErrorCode::ServerRejected.without_detail()
                            }
                            _ => return told(said, TransactionState::Idle),
                        }
                    }
                    StatementAttempt::Lost(ConnectionError::TimedOut) => {
                        return StatementResponse::failed(
                            lost(&ConnectionError::TimedOut, false),
                            TransactionState::Idle,
                        );
                    }
                    StatementAttempt::NotSent(l) | StatementAttempt::Lost(l) => why = lost(&l, false),
                }
            }
        }
        if now() >= patient {
            return StatementResponse::failed(why.with_retry_after(100), TransactionState::Idle);
        }
    }
}
