//! Carrying lookups: same district first, fresh or not at all, never outside the placement (§4.7, §4.8).
use crate::attempt::{Asked, PendingReply, ask_on, no_link};
use crate::pool::{NoLink, PoolLimits, take};
use crate::proxy::Proxy;
use crate::request::{ClientRequest, RequestResult};
use crate::server_choice::{Choice, choose, patience, stay};
use crate::server_protocol::{self, call};
use crate::slots::ConnectionUse;
use crate::state::HealthState;
use quincehatch_config::configuration::{Configuration, Route};
use quincehatch_core::{ErrorCode, Millis, Name, Role};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::sync::Arc;

pub fn owe(bp: &Configuration, r: &Route) -> PendingReply {
    let query_timeout = r.query_timeout_ms.unwrap_or(bp.health.query_timeout_ms);
    PendingReply { timeout: r.timeout_ms, query_timeout, long_running: r.long_running, first: true }
}

pub async fn lookup(n: &Arc<Proxy>, v: &mut ClientRequest) -> RequestResult {
    let (Some(bp), Some(rule)) = (v.plan.configuration.clone(), v.rule.clone()) else {
        return Err(ErrorCode::NoRoute.without_detail());
    };
    let o = owe(&bp, &rule);
    let ctx = v.held.as_ref().map(|h| h.state.clone()).unwrap_or_default();
    let mut tried: Vec<Name> = Vec::new();
    let mut why = ErrorCode::AllReplicasEjected.without_detail();
    let mut rounds = 0;
    n.retry_budget.earn();
    while v.left() > 0 {
        let ask_id = n.next_request_id();
        let Some(c) = choose(n, v, &tried, (v.left() > rule.timeout_ms / 2, rule.long_running), ask_id)
        else {
            // Everyone was asked. A stale or busy answer may be better in a moment; a few rounds, no more.
            // While no primary was seen of late nothing can be proved fresh, and soon may be again (§4.8).
            rounds += 1;
            let again =
                (why.has_code(ErrorCode::Stale) || why.has_code(ErrorCode::ConnectionsBusy)) && rounds < 60;
            if tried.is_empty() || !again || v.left() < 60 {
                return Err(why.with_retry_after(500));
            }
            // Nobody is asked again before an answer could be proved fresh.
            if n.registry
                .with_primary_positions(&v.group, |s| s.needed(now(), rule.max_staleness_ms))
                .is_some()
            {
                tried.clear();
            }
            seam::sleep(std::time::Duration::from_millis(40)).await;
            continue;
        };
        let name = c.row.name.clone();
        tried.push(name.clone());
        v.group = c.row.group();
        v.ran.server = name.clone();
        v.ran.district = c.row.zone();
        v.ran.verdict = Name::from(match (c.primary, c.trial) {
            (true, _) => "primary-share",
            (_, true) => "on-trial",
            _ => "in-rotation",
        });
        let till = patience(v, o.long_running && !c.trial, &c);
        let caps = PoolLimits::of(&bp, c.primary);
        let mut loan =
            match take(&c.row, &n.settings.name, ConnectionUse::Lookup, caps, &ctx.setup(), till).await {
                Ok(l) => l,
                Err(e) => {
                    if c.trial {
                        c.row.health.lock().unwrap().request_inconclusive(ask_id);
                    }
                    v.note(format!("{name} no link"));
                    no_link(n, &c.row, &e);
                    why = match e {
                        NoLink::Busy(b) => b,
                        NoLink::Late(_) => ErrorCode::DeadlinePassed.without_detail(),
                        NoLink::Broke(e) => ErrorCode::ServerFailed.with_detail(e.kind()),
                    };
                    continue;
                }
            };
        match loan.connection().wear(&ctx, till).await {
            Ok(None) => {}
            Ok(Some(r)) => return Err(declined(&r)),
            Err(e) => {
                c.row.health.lock().unwrap().request_inconclusive(ask_id);
                why = e.breakdown();
                continue;
            }
        }
        let q = call::run(&loan.connection().id.clone(), v.text(), &v.body.params);
        let asked = now();
        let owe = PendingReply { first: tried.len() == 1 && rounds == 0, ..o };
        let until = v.until;
        match ask_on(n, loan, q, owe, ask_id, till, || stay(n, &c, until)).await {
            Asked::Reply(r, loan) => {
                loan.check_in();
                if r.error.is_some() {
                    if r.has_error_code(server_protocol::LEAVING) {
                        c.row.set_draining(true);
                        continue;
                    }
                    // It was not run there: others may answer, or this one in a moment.
                    if r.has_error_code(server_protocol::STARTING) {
                        v.note(format!("{name} is starting"));
                        why = ErrorCode::Stale.without_detail();
                        continue;
                    }
                    return Err(declined(&r));
                }
                let Some(good) = r.good(&name) else {
                    why = ErrorCode::InvalidReply.without_detail();
                    continue;
                };
                if fresh_enough(n, &c, &r.stamp, rule.max_staleness_ms, asked) {
                    v.note(format!("{name} answered"));
                    return Ok(good);
                }
                v.note(format!("{name} was behind"));
                why = ErrorCode::Stale.without_detail();
            }
            Asked::Broke(b) => {
                v.note(format!("{name} broke"));
                why = b.breakdown();
            }
            Asked::Silent => {
                v.note(format!("{name} silent"));
                if c.trial {
                    let j = n.health_settings();
                    c.row.health.lock().unwrap().probation_failed(now(), &j, ask_id);
                }
                why = ErrorCode::DeadlinePassed.without_detail();
            }
        }
    }
    let b = if why.has_code(ErrorCode::Stale) || why.has_code(ErrorCode::ConnectionsBusy) {
        why
    } else {
        ErrorCode::DeadlinePassed.without_detail()
    };
    Err(b.with_retry_after(500))
}

/// Proof that the rows are no further behind than the rule allows, on this node's clock alone (§4.8).
fn fresh_enough(n: &Proxy, c: &Choice, s: &quincehatch_core::Stamp, fresh: Millis, asked: Millis) -> bool {
    if seam::injected_bug("stale-lookup") {
        return true;
    }
    if !n.registry.has_lease() {
        return false;
    }
    let group = c.row.group();
    if c.primary {
        let lead = n.registry.primary(&group);
        // Fresh when it was asked; a node that was paused since must not pass it on as fresh now.
        let late = now() > asked + fresh.saturating_sub(crate::freshness::MARGIN);
        return !late
            && s.role == Role::Primary
            && lead.is_some_and(|l| l.fence == s.fence && l.server.as_ref() == Some(&s.server));
    }
    n.registry
        .with_primary_positions(&group, |seen| seen.needed(now(), fresh))
        .is_some_and(|p| s.position >= p)
}

/// The server's own no, in its words' kind only: its text may hold what must not be logged, so it goes to the
/// origin alone.
pub fn declined(r: &crate::server_protocol::Reply) -> quincehatch_core::Error {
    // What was not run, as the server does not lead or not yet, says nothing of the statement.
    let not_run = [server_protocol::STARTING, server_protocol::FENCE_LOW, server_protocol::NOT_PRIMARY]
        .iter()
        .any(|c| r.has_error_code(c));
    if not_run {
        return ErrorCode::NoPrimary
            .with_detail("the server does not lead, or not yet; it ran nothing")
            .with_retry_after(500);
    }
    let text = r.error.as_ref().map_or_else(String::new, |e| format!("{} {}", e.code, e.text));
    ErrorCode::ServerRejected.with_detail(text)
}

/// The verdict's word.
pub fn health_label(v: HealthState) -> &'static str {
    match v {
        HealthState::Healthy => "in-rotation",
        HealthState::Ejected => "set-aside",
        HealthState::Probation => "on-trial",
    }
}
