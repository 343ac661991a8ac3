//! Orders (§4.6): never sent twice; when in doubt, the outcome is asked by the try key and settled by a seal.
use crate::attempt::{Asked, ask, no_link};
use crate::outcome_query::settle;
use crate::pool::{Checkout, NoLink, PoolLimits, take};
use crate::proxy::Proxy;
use crate::read::{declined, owe};
use crate::registry::ServerEntry;
use crate::request::{ClientRequest, RequestResult};
use crate::server_protocol::{self, Reply, Try, call};
use crate::slots::ConnectionUse;
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{Error, ErrorCode, FencingToken, Millis, Role};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;

/// Time kept at the end of a deadline for the answer itself.
pub const LAST: Millis = 40;

/// The group's primary as the chain names it, if this placement holds it and it may take work.
pub fn primary(n: &Proxy, v: &ClientRequest) -> Result<(Arc<ServerEntry>, FencingToken), Error> {
    let none = |w: &str| ErrorCode::NoPrimary.with_detail(w).with_retry_after(1_000);
    let lead = n.registry.primary(&v.group).ok_or_else(|| none("none was named yet"))?;
    let name = lead.server.ok_or_else(|| none("it is changing hands"))?;
    let row = n.registry.server(&name).ok_or_else(|| none("it has not been heard of here"))?;
    let bp = v.plan.configuration.as_ref();
    let held = |b: &Arc<Configuration>| {
        b.placement(&v.ran.placement)
            .is_some_and(|p| b.placement_includes(p, &row.heartbeat.read().unwrap().labels))
    };
    if !bp.is_some_and(held) {
        return Err(none("the placement does not hold it"));
    }
    if row.is_draining() {
        return Err(none("it is leaving"));
    }
    if !row.answered_recently() {
        return Err(none("it has not answered STATUS for 3 s"));
    }
    Ok((row, lead.fence))
}

/// Longest a visit is held while hands change: such a change is over in less, or takes seconds (§5.6).
const HOLD: Millis = 900;

/// The primary; while hands change the visit is held for it, within its time and in bounded places (§4.6). Nothing was
/// sent, so the answer is final and comes at once when it is over.
async fn lead(n: &Proxy, v: &mut ClientRequest) -> Result<(Arc<ServerEntry>, FencingToken), Error> {
    let until = (now() + HOLD).min(v.until.saturating_sub(2 * LAST));
    let mut place = None;
    loop {
        let got = primary(n, v);
        let changing = n.registry.primary(&v.group).is_some_and(|l| {
            l.server.as_ref().is_none_or(|s| n.registry.server(s).is_some_and(|r| r.is_draining()))
        });
        if got.is_ok() || !changing || now() >= until {
            return got;
        }
        if place.is_none() {
            let most = v.plan.configuration.as_ref().map_or(0, |b| b.queue.max_waiting as usize);
            v.note("held while hands change");
            place = Some(
                n.registry
                    .in_flight
                    .enter_queue(&v.group, most)
                    .ok_or_else(|| ErrorCode::QueueFull.without_detail().with_retry_after(200))?,
            );
        }
        seam::sleep(Duration::from_millis(5)).await;
    }
}

/// A link to the primary wearing the session's context; nothing of the visit has been sent yet.
pub async fn to_primary(n: &Arc<Proxy>, v: &mut ClientRequest) -> Result<(Checkout, FencingToken), Error> {
    let bp = v.plan.configuration.clone().ok_or_else(|| ErrorCode::NoConfiguration.without_detail())?;
    let ctx = v.held.as_ref().map(|h| h.state.clone()).unwrap_or_default();
    let mut why = ErrorCode::ConnectionsBusy.without_detail();
    for _ in 0..3 {
        let (row, fence) = lead(n, v).await?;
        v.ran.server = row.name.clone();
        v.ran.district = row.zone();
        v.ran.verdict = "primary".into();
        let caps = PoolLimits::of(&bp, true);
        let mut loan =
            match take(&row, &n.settings.name, ConnectionUse::Order, caps, &ctx.setup(), v.until).await {
                Ok(l) => l,
                Err(NoLink::Busy(b)) => return Err(b),
                Err(e) => {
                    no_link(n, &row, &e);
                    v.note(format!("{} no link", row.name));
                    why = ErrorCode::ServerFailed
                        .with_detail("no link to the primary could be opened")
                        .with_retry_after(500);
                    continue;
                }
            };
        match loan.connection().wear(&ctx, v.until).await {
            Ok(None) => return Ok((loan, fence)),
            Ok(Some(r)) => return Err(declined(&r)),
            Err(e) => why = e.breakdown().with_retry_after(500),
        }
    }
    Err(why)
}

/// A one-step order.
pub async fn order(n: &Arc<Proxy>, v: &mut ClientRequest) -> RequestResult {
    let key = v.body.key.clone().ok_or_else(|| ErrorCode::MissingIdempotencyKey.without_detail())?;
    let (bp, rule) = v
        .plan
        .configuration
        .clone()
        .zip(v.rule.clone())
        .ok_or_else(|| ErrorCode::NoRoute.without_detail())?;
    let (mut loan, fence) = to_primary(n, v).await?;
    let _work = n.registry.in_flight.begin(&v.group);
    let sum = v.sum();
    let t = Try { key: &key, sum: &sum, fence };
    let q = call::order(&loan.connection().id.clone(), v.text(), &v.body.params, &t);
    let mut asked = ask(n, loan, q, owe(&bp, &rule), n.next_request_id(), v.until.saturating_sub(LAST)).await;
    if seam::injected_bug("sent-twice") && matches!(asked, Asked::Broke(_)) {
        let (mut loan, fence) = to_primary(n, v).await?;
        let t = Try { key: &format!("{key}/2"), sum: &sum, fence };
        let q = call::order(&loan.connection().id.clone(), v.text(), &v.body.params, &t);
        asked = ask(n, loan, q, owe(&bp, &rule), n.next_request_id(), v.until.saturating_sub(LAST)).await;
    }
    finish(n, v, &key, fence, asked).await
}

/// What a commit (or a one-step order) came to.
pub async fn finish(
    n: &Arc<Proxy>,
    v: &mut ClientRequest,
    key: &str,
    fence: FencingToken,
    asked: Asked,
) -> RequestResult {
    match asked {
        Asked::Reply(r, loan) => {
            loan.check_in();
            judge_reply(n, v, key, fence, r).await
        }
        Asked::Broke(b) => {
            v.note(format!("{} broke after sending", v.ran.server));
            match b {
                crate::connection::ExchangeError::Bad => {
                    Err(ErrorCode::InvalidReply.without_detail().with_unknown_outcome().with_retry_after(500))
                }
                crate::connection::ExchangeError::Io(_) => settle(n, v, key, true).await,
            }
        }
        Asked::Silent => {
            v.note(format!("{} silent after sending", v.ran.server));
            Err(unknown())
        }
    }
}

pub fn unknown() -> Error {
    ErrorCode::Unknown.without_detail().with_unknown_outcome().with_retry_after(500)
}

async fn judge_reply(
    n: &Arc<Proxy>,
    v: &mut ClientRequest,
    key: &str,
    fence: FencingToken,
    r: Reply,
) -> RequestResult {
    if r.has_error_code(server_protocol::LEAVING) {
        if let Some(row) = n.registry.server(&v.ran.server) {
            row.set_draining(true);
        }
        return Err(ErrorCode::ServerFailed
            .with_detail("the server is leaving; it did not take the order")
            .with_retry_after(1_000));
    }
    if r.has_error_code(server_protocol::IN_DOUBT) {
        return settle(n, v, key, false).await;
    }
    if r.has_error_code(server_protocol::TRY_REUSED) {
        return Err(ErrorCode::IdempotencyKeyReused.without_detail());
    }
    if r.has_error_code(server_protocol::TRY_SEALED) {
        return Err(ErrorCode::Sealed.without_detail());
    }
    if r.has_error_code(server_protocol::FENCE_LOW) || r.has_error_code(server_protocol::NOT_PRIMARY) {
        return Err(ErrorCode::NoPrimary
            .with_detail("the server no longer leads; it did not take the order")
            .with_retry_after(500));
    }
    if r.error.is_some() {
        return Err(declined(&r));
    }
    let stamped = r.stamp.fence == fence && r.stamp.role == Role::Primary;
    match r.good(&v.ran.server).filter(|_| stamped) {
        // The lease is asked after the reply: a node that was paused does not speak for the present (§5.6).
        Some(_) if !n.registry.has_lease() => {
            Err(ErrorCode::NoLease.with_detail("it ran out before the reply").with_unknown_outcome())
        }
        Some(good) => {
            n.registry.record_primary_position(&v.group, v.began, r.stamp.position);
            Ok(good)
        }
        None => Err(ErrorCode::InvalidReply.without_detail().with_unknown_outcome()),
    }
}

/// An order-side read outside a transaction: at the primary, under the lease, under the lead's fence.
pub async fn side_read(n: &Arc<Proxy>, v: &mut ClientRequest) -> RequestResult {
    let (bp, rule) = v
        .plan
        .configuration
        .clone()
        .zip(v.rule.clone())
        .ok_or_else(|| ErrorCode::NoRoute.without_detail())?;
    loop {
        let (mut loan, fence) = to_primary(n, v).await?;
        let q: (&'static str, Value) = call::run(&loan.connection().id.clone(), v.text(), &v.body.params);
        match ask(n, loan, q, owe(&bp, &rule), n.next_request_id(), v.until).await {
            Asked::Reply(r, loan) => {
                loan.check_in();
                if not_yet(v, &r).await {
                    continue;
                }
                return read_reply(n, v, fence, &r);
            }
            Asked::Broke(b) => return Err(b.breakdown().with_retry_after(500)),
            Asked::Silent => return Err(ErrorCode::DeadlinePassed.without_detail().with_retry_after(500)),
        }
    }
}

/// The server did not run the statement, as it is starting: true after a moment, if there is time to ask again.
pub async fn not_yet(v: &mut ClientRequest, r: &Reply) -> bool {
    let again = r.has_error_code(server_protocol::STARTING) && v.left() > 2 * LAST;
    if again {
        v.note(format!("{} is starting", v.ran.server));
        seam::sleep(Duration::from_millis(LAST)).await;
    }
    again
}

/// A read at the primary counts only if the node still holds its lease and the lead has not changed (§5.6).
pub fn read_reply(n: &Proxy, v: &ClientRequest, fence: FencingToken, r: &Reply) -> RequestResult {
    if r.error.is_some() {
        return Err(declined(r));
    }
    let led = n
        .registry
        .primary(&v.group)
        .is_some_and(|l| l.fence == fence && l.server.as_ref() == Some(&v.ran.server));
    if !n.registry.has_lease() || !led || r.stamp.fence != fence {
        return Err(ErrorCode::NoPrimary
            .with_detail("it changed hands while the read ran")
            .with_retry_after(200));
    }
    r.good(&v.ran.server).ok_or_else(|| ErrorCode::InvalidReply.without_detail())
}
