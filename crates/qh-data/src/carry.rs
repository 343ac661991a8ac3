//! One question carried over one link, watched by the judges, given up without losing its end (§4.5).
use crate::judge::Sign;
use crate::link::LinkBroke;
use crate::node::Node;
use crate::pool::{Loan, NoLink};
use crate::server::{Reply, call};
use crate::verdict::Verdict;
use qh_core::http::post;
use qh_core::rt;
use qh_core::{Ms, now};
use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::oneshot;

/// How a rule wants its replies watched.
#[derive(Clone, Copy, Debug)]
pub struct Owe {
    pub timeout: Ms,
    pub query_timeout: Ms,
    pub long: bool,
}

/// How long an abandoned link counts after its query timeout, at most.
const ABANDON_MORE: Ms = 5_000;

/// What came of asking.
pub enum Asked {
    /// The server's own reply, and the link still in hand.
    Reply(Reply, Loan),
    /// The link broke; what was sent may have been done.
    Broke(LinkBroke),
    /// No reply in time; the link is being seen off by its own task.
    Silent,
}

/// Asks over `loan` and waits until `until`. The asking itself goes on in a task of its own, so that neither an
/// origin that leaves nor a visit that gives up loses what the reply would tell the judges.
pub async fn ask(n: &Arc<Node>, loan: Loan, c: (&'static str, Value), owe: Owe, id: u64, until: Ms) -> Asked {
    let (tx, rx) = oneshot::channel();
    let node = n.clone();
    n.rt.spawn(async move { watch(node, loan, c, owe, id, tx).await });
    let left = Duration::from_millis(until.saturating_sub(now()));
    match rt::timeout(left, rx).await {
        Ok(Ok(Ok((r, l)))) => Asked::Reply(r, l),
        Ok(Ok(Err(b))) => Asked::Broke(b),
        _ => Asked::Silent,
    }
}

type Back = oneshot::Sender<Result<(Reply, Loan), LinkBroke>>;

async fn watch(n: Arc<Node>, mut loan: Loan, c: (&'static str, Value), owe: Owe, id: u64, mut tx: Back) {
    let row = loan.row().clone();
    row.health.lock().unwrap().overdue.sent(now(), id, owe.timeout, owe.query_timeout, owe.long);
    let (lid, addr, ours) = (loan.link().id.clone(), loan.link().addr.clone(), loan.link().ours());
    let mut given_up = false;
    let got = {
        let asking = loan.link().ask(c);
        tokio::pin!(asking);
        let first = rt::first(&mut asking, tx.closed()).await.ok();
        match first {
            Some(r) => Some(r),
            None => {
                given_up = true;
                ours.say();
                n.rt.spawn(async move {
                    let (path, body) = call::cancel(&lid);
                    let _ = post(&addr, path, &body, Duration::from_secs(2)).await;
                });
                let most = Duration::from_millis(owe.query_timeout + ABANDON_MORE);
                rt::timeout(most, &mut asking).await.ok()
            }
        }
    };
    let j = n.judges();
    match got {
        Some(Ok(r)) => {
            let mut h = row.health.lock().unwrap();
            if given_up {
                // Too late for the origin, but a sign of life: a long query, not a stall.
                h.overdue.answered(now(), id);
            } else {
                h.good(now(), &j, id);
                drop(h);
                let _ = tx.send(Ok((r, loan)));
            }
        }
        Some(Err(e)) => {
            if let LinkBroke::Io(io) = &e {
                let end = loan.ending_of(io, true);
                let mut h = row.health.lock().unwrap();
                h.overdue.gone(id);
                h.no_matter(id);
                // A cancelled query's link may be closed by the server: that is what we asked for.
                if !given_up {
                    h.ended(now(), &j, end);
                }
            } else {
                row.health.lock().unwrap().no_matter(id);
            }
            drop(loan);
            let _ = tx.send(Err(e));
        }
        None => row.health.lock().unwrap().overdue.gone(id),
    }
}

/// An opening that took at least this long without an answer is a sign.
const LATE_OPEN: Duration = Duration::from_millis(500);

/// No link could be had: if the reason is the server's, the judges hear it.
pub fn no_link(n: &Node, row: &crate::board::ServerRow, e: &NoLink) {
    let j = n.judges();
    let mut h = row.health.lock().unwrap();
    if h.verdict == Verdict::SetAside {
        return;
    }
    match e {
        NoLink::Broke(io) => h.ended(now(), &j, crate::judge::ending(io, false, row.leaving())),
        NoLink::Late(took) if *took >= LATE_OPEN => h.weigh(now(), &j, Sign::Late),
        NoLink::Late(_) | NoLink::Busy(_) => {}
    }
}
