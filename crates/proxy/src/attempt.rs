//! One question carried over one link, watched by the judges, given up without losing its end (§4.5).
use crate::connection::ExchangeError;
use crate::evidence::HealthSignal;
pub use crate::overdue_replies::PendingReply;
use crate::pool::{Checkout, NoLink};
use crate::proxy::Proxy;
use crate::server_protocol::{Reply, call};
use crate::state::HealthState;
use quincehatch_core::Millis;
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::post_once;
use serde_json::Value;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::oneshot;

/// How long an abandoned link counts after its query timeout, at most.
const ABANDON_MORE: Millis = 5_000;

/// What came of asking.
pub enum Asked {
    /// The server's own reply, and the link still in hand.
    Reply(Reply, Checkout),
    /// The link broke; what was sent may have been done.
    Broke(ExchangeError),
    /// No reply in time; the link is being seen off by its own task.
    Silent,
}

/// Asks over `loan` and waits until `until`. The asking itself goes on in a task of its own, so that neither an
/// origin that leaves nor a visit that gives up loses what the reply would tell the judges.
pub async fn ask(
    n: &Arc<Proxy>,
    loan: Checkout,
    c: (&'static str, Value),
    owe: PendingReply,
    id: u64,
    until: Millis,
) -> Asked {
    ask_on(n, loan, c, owe, id, until, || None).await
}

/// The same; when the time is over, `more` may give it more.
pub async fn ask_on(
    n: &Arc<Proxy>,
    loan: Checkout,
    c: (&'static str, Value),
    owe: PendingReply,
    id: u64,
    mut until: Millis,
    more: impl Fn() -> Option<Millis>,
) -> Asked {
    let (tx, mut rx) = oneshot::channel();
    let node = n.clone();
    n.rt.spawn(async move { watch(node, loan, c, owe, id, tx).await });
    loop {
        let left = Duration::from_millis(until.saturating_sub(now()));
        match seam::timeout(left, &mut rx).await {
            Ok(Ok(Ok((r, l)))) => return Asked::Reply(r, l),
            Ok(Ok(Err(b))) => return Asked::Broke(b),
            Ok(Err(_)) => return Asked::Silent,
            Err(_) => match more() {
                Some(ms) => until = ms,
                None => return Asked::Silent,
            },
        }
    }
}

type Back = oneshot::Sender<Result<(Reply, Checkout), ExchangeError>>;

async fn watch(
    n: Arc<Proxy>,
    mut loan: Checkout,
    c: (&'static str, Value),
    owe: PendingReply,
    id: u64,
    mut tx: Back,
) {
    let row = loan.row().clone();
    row.health.lock().unwrap().overdue.record_sent(now(), id, owe);
    let (lid, addr, ours) =
        (loan.connection().id.clone(), loan.connection().addr.clone(), loan.connection().ours());
    let mut given_up = false;
    let got = {
        let asking = loan.connection().ask(c);
        tokio::pin!(asking);
        let first = seam::select_first(&mut asking, tx.closed()).await.ok();
        match first {
            Some(r) => Some(r),
            None => {
                given_up = true;
                ours.mark();
                n.rt.spawn(async move {
                    let (path, body) = call::cancel(&lid);
                    let _ = post_once(&addr, path, &body, Duration::from_secs(2)).await;
                });
                let most = Duration::from_millis(owe.query_timeout + ABANDON_MORE);
                seam::timeout(most, &mut asking).await.ok()
            }
        }
    };
    let j = n.health_settings();
    match got {
        Some(Ok(r)) => {
            let mut h = row.health.lock().unwrap();
            if given_up && r.error.is_none() {
                // Too late for the origin, but a sign of life: a long query, not a stall.
                h.overdue.record_answer(now(), id);
            } else if given_up {
                // To end a cancelled query needs no storage, so it proves nothing.
                h.overdue.forget(id);
            } else {
                h.request_succeeded(now(), &j, id);
                drop(h);
                let _ = tx.send(Ok((r, loan)));
            }
        }
        Some(Err(e)) => {
            if let ExchangeError::Io(io) = &e {
                let end = loan.ending_of(io, true);
                let mut h = row.health.lock().unwrap();
                h.overdue.forget(id);
                h.request_inconclusive(id);
                // A cancelled query's link may be closed by the server: that is what we asked for.
                if !given_up {
                    h.connection_ended(now(), &j, end);
                }
            } else {
                row.health.lock().unwrap().request_inconclusive(id);
            }
            drop(loan);
            let _ = tx.send(Err(e));
        }
        None => row.health.lock().unwrap().overdue.forget(id),
    }
}

/// An opening that took at least this long without an answer is a sign.
const LATE_OPEN: Duration = Duration::from_millis(500);

/// No link could be had: if the reason is the server's, the judges hear it.
pub fn no_link(n: &Proxy, row: &crate::registry::ServerEntry, e: &NoLink) {
    let j = n.health_settings();
    let mut h = row.health.lock().unwrap();
    if h.state == HealthState::Ejected {
        return;
    }
    match e {
        NoLink::Broke(io) => {
            h.connection_ended(now(), &j, crate::evidence::classify_end(io, false, row.is_draining()))
        }
        NoLink::Late(took) if *took >= LATE_OPEN => h.add_evidence(now(), &j, HealthSignal::Late),
        NoLink::Late(_) | NoLink::Busy(_) => {}
    }
}

/// How many visits may be carried on from a server that is silent: one for each four that come, and a stock for a
/// stall that is not found yet. So a crowd that makes all servers slow does not multiply itself (§4.7).
pub struct RetryBudget(AtomicU64);

const STOCK: u64 = 512;
const SHARE: u64 = 4;

impl Default for RetryBudget {
    fn default() -> Self {
        Self(AtomicU64::new(STOCK * SHARE))
    }
}

impl RetryBudget {
    pub fn earn(&self) {
        let add = |n: u64| Some((n + 1).min(STOCK * SHARE));
        let _ = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }
    pub fn try_spend(&self) -> bool {
        self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |n| n.checked_sub(SHARE)).is_ok()
    }
    pub fn left(&self) -> u64 {
        self.0.load(Ordering::Relaxed) / SHARE
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn carrying_is_a_share_of_what_comes_once_the_stock_is_gone() {
        let b = RetryBudget::default();
        assert_eq!((0..10_000).filter(|_| b.try_spend()).count() as u64, STOCK);
        let carried = (0..400).filter(|_| {
            b.earn();
            b.try_spend()
        });
        assert_eq!(carried.count(), 100);
        assert_eq!(b.left(), 0);
    }
}
