//! How a try ended (§4.6): asked of whoever leads by then, and settled by a seal.
use crate::proxy::Proxy;
use crate::registry::ServerEntry;
use crate::request::{ClientRequest, RequestResult};
use crate::server_protocol::{Reply, call};
use crate::write::{LAST, primary, unknown};
use quincehatch_core::{ErrorCode, FencingToken, Name, Role};
use quincehatch_runtime::seam;
use std::sync::Arc;
use std::time::Duration;

/// Asks a try's outcome of whoever leads, until it is known or the deadline is here. With `seal` a try that
/// was not kept is made impossible first, and only then called so (§4.6).
pub async fn settle(n: &Arc<Proxy>, v: &mut ClientRequest, key: &str, seal: bool) -> RequestResult {
    v.note("asks the outcome");
    while v.left() > LAST {
        let within = Duration::from_millis(v.left().saturating_sub(LAST));
        if let Ok((row, fence)) = primary(n, v) {
            v.ran.server = row.name.clone();
            v.ran.district = row.zone();
            v.ran.verdict = "primary".into();
            if let Some(r) = ask_outcome(n, &row, key, seal, fence, within).await
                && r.stamp.fence == fence
                && r.stamp.role == Role::Primary
                && n.registry.has_lease()
            {
                match r.outcome.as_deref() {
                    // It proves nothing of what else is visible at a primary that just took over (§4.8).
                    Some("kept") => {
                        return r
                            .good(&row.name)
                            .ok_or_else(|| ErrorCode::InvalidReply.without_detail().with_unknown_outcome());
                    }
                    Some("sealed") => return Err(ErrorCode::Sealed.without_detail()),
                    Some("not-kept") if seam::injected_bug("no-seal") => {
                        return Err(ErrorCode::Sealed.without_detail());
                    }
                    Some("not-kept") if !seal => {
                        return Err(ErrorCode::Unknown
                            .with_detail("not kept so far, and not sealed")
                            .with_unknown_outcome());
                    }
                    _ => {}
                }
            }
        }
        seam::sleep(Duration::from_millis(50)).await;
    }
    Err(unknown())
}

async fn ask_outcome(
    n: &Proxy,
    row: &ServerEntry,
    key: &str,
    seal: bool,
    fence: FencingToken,
    within: Duration,
) -> Option<Reply> {
    let (path, body) = call::outcome(key, seal && !seam::injected_bug("no-seal"), fence);
    let addr: Name = row.addr();
    let r = n.call_once(&addr, path, body, within).await?;
    Some(r).filter(|r| r.error.is_none() && r.stamp.server == row.name)
}
