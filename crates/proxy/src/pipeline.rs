//! The chain of filters a visit passes; each may answer (§4.1).
use crate::proxy::Proxy;
use crate::request::{ClientRequest, Operation, RequestResult, Success};
use crate::{outcome_query, read, session, transaction, write};
use quincehatch_core::{Error, ErrorCode, Millis};
use quincehatch_runtime::now;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

pub type Step<'a> = Pin<Box<dyn Future<Output = Option<RequestResult>> + Send + 'a>>;

/// A filter lets the visit pass (`None`) or answers it.
pub struct Filter {
    pub name: &'static str,
    pub pass: for<'a> fn(&'a Arc<Proxy>, &'a mut ClientRequest) -> Step<'a>,
}

/// Longest and shortest deadline an origin may set.
pub const DEADLINE: (Millis, Millis) = (50, 60_000);
/// Longest statement text.
pub const TEXT_MAX: usize = 32 << 10;

pub const CHAIN: &[Filter] = &[
    Filter { name: "limits", pass: |n, v| Box::pin(async { limits(n, v).err().map(Err) }) },
    Filter { name: "ready", pass: |n, v| Box::pin(async { ready(n, v).err().map(Err) }) },
    Filter { name: "deadline", pass: |n, v| Box::pin(async { deadline(n, v).err().map(Err) }) },
    Filter { name: "session", pass: |n, v| Box::pin(in_session(n, v)) },
    Filter { name: "rule", pass: |n, v| Box::pin(async { rule(n, v).err().map(Err) }) },
    Filter { name: "placement", pass: |n, v| Box::pin(async { placement(n, v).err().map(Err) }) },
    Filter { name: "carry", pass: |n, v| Box::pin(async { Some(carry(n, v).await) }) },
];

/// Runs the chain; a visit no filter answered is one no call takes.
pub async fn pass(n: &Arc<Proxy>, v: &mut ClientRequest) -> RequestResult {
    for f in CHAIN {
        v.note(f.name);
        if let Some(a) = (f.pass)(n, v).await {
            return a;
        }
    }
    Err(ErrorCode::NoSuchCall.without_detail())
}

fn limits(_: &Proxy, v: &ClientRequest) -> Result<(), Error> {
    let long = v.text().len() > TEXT_MAX;
    let key = v.body.key.as_ref().is_some_and(|k| k.is_empty() || k.len() > 128);
    let named = v.body.name.as_ref().is_some_and(|k| k.is_empty() || k.len() > 128);
    let needs = matches!(
        v.what,
        Operation::Set | Operation::Prepare | Operation::Order | Operation::Lookup | Operation::Run
    );
    let tried = matches!(v.what, Operation::Order | Operation::Commit | Operation::Outcome);
    if long {
        return Err(ErrorCode::TooLarge.with_detail(format_args!("a text may have {TEXT_MAX} bytes")));
    }
    if key || named {
        return Err(ErrorCode::Malformed.with_detail("a try key or name has 1 to 128 bytes"));
    }
    if needs && v.text().is_empty() {
        return Err(ErrorCode::Malformed.with_detail("text is missing"));
    }
    if tried && v.body.key.is_none() {
        return Err(ErrorCode::MissingIdempotencyKey.without_detail());
    }
    if v.what == Operation::Prepare && v.body.name.is_none() {
        return Err(ErrorCode::Malformed.with_detail("name is missing"));
    }
    if v.what.in_session() && v.body.session.is_none() {
        return Err(ErrorCode::Malformed.with_detail("session is missing"));
    }
    Ok(())
}

fn ready(n: &Proxy, v: &ClientRequest) -> Result<(), Error> {
    let ends = matches!(
        v.what,
        Operation::Run | Operation::Commit | Operation::Rollback | Operation::Close | Operation::Outcome
    );
    if n.registry.is_stopping() && !ends {
        return Err(ErrorCode::Stopping.without_detail().with_retry_after(200));
    }
    if !n.registry.has_lease() {
        return Err(ErrorCode::NoLease.without_detail().with_retry_after(500));
    }
    v.plan
        .configuration
        .as_ref()
        .map(|_| ())
        .ok_or_else(|| ErrorCode::NoConfiguration.without_detail().with_retry_after(1_000))
}

fn deadline(_: &Proxy, v: &mut ClientRequest) -> Result<(), Error> {
    let (lo, hi) = DEADLINE;
    v.body.deadline_ms.filter(|d| !(lo..=hi).contains(d)).map_or(Ok(()), |d| {
        Err(ErrorCode::InvalidDeadline.with_detail(format_args!("{d} ms is outside {lo} to {hi}")))
    })?;
    v.until = v.began + v.body.deadline_ms.unwrap_or(hi);
    if now() >= v.until { Err(ErrorCode::DeadlinePassed.without_detail()) } else { Ok(()) }
}

async fn in_session(n: &Arc<Proxy>, v: &mut ClientRequest) -> Option<RequestResult> {
    if v.what == Operation::Open {
        return Some(n.open_session(v).await);
    }
    let id = v.body.session.clone()?;
    let Some(version) = v.body.version else {
        return Some(Err(
            ErrorCode::Malformed.with_detail("a visit in a session names the version it was last told")
        ));
    };
    let got = n.lock_session(&id, version).await;
    match got {
        Err(b) => return Some(Err(b)),
        Ok(g) => v.held = Some(g),
    }
    let s = v.held.as_deref_mut()?;
    s.last_used = now();
    match v.what {
        Operation::Set | Operation::Prepare if s.transaction.is_some() => {
            Some(Err(ErrorCode::InTransaction.without_detail()))
        }
        Operation::Set | Operation::Prepare => Some(promise(n, v).await),
        Operation::Close => {
            s.transaction = None;
            let mut ctx = s.state.next_version(s.highest_attempted, s.adopted);
            ctx.closed = true;
            s.state = ctx.clone();
            n.sessions.remove(&id);
            Some(n.copies.store(ctx).await.map(|()| Success::Accepted))
        }
        Operation::Order if s.transaction.is_some() => Some(Err(ErrorCode::InTransaction.without_detail())),
        _ => None,
    }
}

/// Adds to what the session was promised; it counts only once a majority of its owners hold it (§6.4).
async fn promise(n: &Arc<Proxy>, v: &mut ClientRequest) -> RequestResult {
    let text = v.text().to_owned();
    let name = v.body.name.clone();
    let Some(s) = v.held.as_deref_mut() else { return Err(ErrorCode::SessionUnknown.without_detail()) };
    let mut ctx = s.state.next_version(s.highest_attempted, s.adopted);
    if v.what == Operation::Set {
        ctx.settings.push(text);
    } else if let Some(name) = name {
        ctx.prepared.retain(|(n, _)| *n != name);
        ctx.prepared.push((name, text));
    }
    if ctx.settings.len() > session::MAX_TEXTS || ctx.prepared.len() > session::MAX_TEXTS {
        return Err(ErrorCode::TooLarge
            .with_detail(format_args!("a session holds {} texts of a kind", session::MAX_TEXTS)));
    }
    // Left in doubt, the update may live on in some copy: the next version outranks it.
    s.highest_attempted = ctx.version;
    n.copies.store(ctx.clone()).await?;
    s.adopted = false;
    s.state = ctx;
    Ok(Success::Accepted)
}

fn rule(n: &Proxy, v: &mut ClientRequest) -> Result<(), Error> {
    let class = match v.what {
        Operation::Order | Operation::Begin | Operation::Outcome => "order",
        Operation::Lookup if v.body.order_side => "order",
        Operation::Lookup => "lookup",
        _ => return Ok(()),
    };
    let bp = v.plan.configuration.clone().ok_or_else(|| ErrorCode::NoConfiguration.without_detail())?;
    let mut labels = v.body.labels.clone();
    labels.insert("district".into(), n.settings.zone.as_str().into());
    let r = bp.route_for(class, &labels).ok_or_else(|| ErrorCode::NoRoute.without_detail())?;
    // The error of a visit that waits comes at the rule's timeout or the visit's deadline (DESIGN).
    v.until = v.until.min(v.began + r.timeout_ms);
    v.ran.placement = r.placement.as_str().into();
    v.rule = Some(r.clone());
    Ok(())
}

fn placement(_: &Proxy, v: &mut ClientRequest) -> Result<(), Error> {
    let Some(r) = &v.rule else { return Ok(()) };
    let bp = v.plan.configuration.clone().ok_or_else(|| ErrorCode::NoConfiguration.without_detail())?;
    let p = bp.placement(&r.placement).ok_or_else(|| ErrorCode::NoPlacement.without_detail())?;
    if r.class == "order" {
        let one = p.select.get("group").filter(|g| g.len() == 1).map(|g| g[0].as_str());
        v.group = one
            .ok_or_else(|| ErrorCode::NoPlacement.with_detail("orders need a placement of one group"))?
            .into();
    }
    Ok(())
}

async fn carry(n: &Arc<Proxy>, v: &mut ClientRequest) -> RequestResult {
    match v.what {
        Operation::Order => write::order(n, v).await,
        Operation::Lookup if v.body.order_side => write::side_read(n, v).await,
        Operation::Lookup => read::lookup(n, v).await,
        Operation::Begin => transaction::begin(n, v).await,
        Operation::Run => transaction::run(n, v).await,
        Operation::Commit => transaction::commit(n, v).await,
        Operation::Rollback => transaction::rollback(n, v).await,
        Operation::Outcome => {
            let key = v.body.key.clone().unwrap_or_default();
            let seal = v.body.seal;
            outcome_query::settle(n, v, &key, seal).await
        }
        _ => Err(ErrorCode::NoSuchCall.without_detail()),
    }
}
