//! Links of one server, shared between transactions, never inside one (§4.3).
use crate::judge::{Ending, ending};
use crate::link::Link;
use crate::session::Texts;
use crate::shard::{Grant, Shard, Use};
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{ErrorCode, Error, Millis};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::KeepaliveSettings;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

#[derive(Default)]
pub struct Pool {
    pub shard: Shard<Link>,
    free: Notify,
    /// Visits held for want of a link.
    pub held: AtomicUsize,
    epoch: AtomicUsize,
}

/// Caps that hold at a visit's time.
#[derive(Clone, Copy)]
pub struct Caps {
    pub links: usize,
    pub share: usize,
    pub held: usize,
    pub watch: KeepaliveSettings,
}

impl Caps {
    pub fn of(bp: &Configuration, primary: bool) -> Caps {
        let links = if primary { bp.connections.per_primary } else { bp.connections.per_replica } as usize;
        let share = if primary { (links * bp.connections.primary_lookup_percent as usize / 100).max(1) } else { links };
        let watch = KeepaliveSettings {
            idle: Duration::from_millis(bp.health.keepalive_idle_ms),
            user_timeout: Duration::from_millis(bp.health.user_timeout_ms),
        };
        Caps { links, share, held: bp.queue.max_waiting as usize, watch }
    }
}

/// A link on loan. Dropped without a word it counts as gone.
pub struct Loan {
    pub link: Option<Link>,
    row: Arc<crate::board::ServerRow>,
    use_: Use,
    caps: Caps,
    epoch: usize,
    settled: bool,
}

impl Pool {
    /// Drops idle links; with `close` none is granted until it is called with `false`.
    pub fn shut(&self, close: bool) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        self.shard.clear(close);
        self.free.notify_waiters();
    }
    pub fn sweep(&self) {
        if self.shard.sweep(|l| !l.is_closed()) > 0 {
            self.free.notify_waiters();
        }
    }
}

/// Why no link was had; nothing was sent to the server.
#[derive(Debug)]
pub enum NoLink {
    Busy(Error),
    /// Opening took all the time there was.
    Late(Duration),
    Broke(std::io::Error),
}

/// Takes a link of `row` within the time, holding the visit when all are busy.
pub async fn take(
    row: &Arc<crate::board::ServerRow>,
    me: &str,
    u: Use,
    caps: Caps,
    ctx: &Texts,
    until: Millis,
) -> Result<Loan, NoLink> {
    loop {
        let woken = row.pool.free.notified();
        tokio::pin!(woken);
        woken.as_mut().enable();
        let epoch = row.pool.epoch.load(Ordering::SeqCst);
        let fits = |l: &Link| !l.is_closed() && l.wears(ctx);
        let loan = |link| Loan { link, row: row.clone(), use_: u, caps, epoch, settled: false };
        match row.pool.shard.take(u, caps.links, caps.share, fits) {
            Grant::Idle(l) if l.is_closed() => {
                drop(loan(None));
                continue;
            }
            Grant::Idle(l) => return Ok(loan(Some(l))),
            Grant::Open => {
                let mut ln = loan(None);
                let left = Duration::from_millis(until.saturating_sub(now()).max(1));
                let addr = row.addr();
                let open = Link::open(me, &row.name, &addr, caps.watch, row.on_break());
                let got = seam::timeout(left, open).await;
                // Our own deadline is no finding of the kernel's: it counts as a late reply at most (§4.5).
                let got = got.map_err(|_| NoLink::Late(left))?;
                ln.link = Some(got.map_err(NoLink::Broke)?);
                return Ok(ln);
            }
            Grant::Full => {}
        }
        if row.leaving() {
            return Err(NoLink::Busy(ErrorCode::ServerFailed.with_detail("the server is leaving")));
        }
        let held = row.pool.held.fetch_add(1, Ordering::SeqCst);
        let wait = async {
            if held >= caps.held {
                return Err(ErrorCode::QueueFull.without_detail().with_retry_after(200));
            }
            let left = until.saturating_sub(now());
            seam::timeout(Duration::from_millis(left), woken)
                .await
                .map_err(|_| ErrorCode::ConnectionsBusy.without_detail().with_retry_after(200))
        };
        let r = wait.await;
        row.pool.held.fetch_sub(1, Ordering::SeqCst);
        r.map_err(NoLink::Busy)?;
    }
}

impl Loan {
    pub fn link(&mut self) -> &mut Link {
        self.link.as_mut().expect("a loan in use has its link")
    }
    pub fn row(&self) -> &Arc<crate::board::ServerRow> {
        &self.row
    }
    /// Gives the link back in good order.
    pub fn give_back(mut self) {
        let Some(l) = self.link.take() else { return };
        let stale = self.epoch != self.row.pool.epoch.load(Ordering::SeqCst);
        if stale || l.is_closed() {
            self.row.pool.shard.gone(self.use_);
        } else {
            drop(self.row.pool.shard.put(self.use_, self.caps.links, l));
        }
        self.row.pool.free.notify_one();
        self.settled = true;
    }
    pub fn ending_of(&self, e: &std::io::Error, owing: bool) -> Ending {
        ending(e, owing, self.row.leaving())
    }
}

impl Drop for Loan {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        self.row.pool.shard.gone(self.use_);
        self.row.pool.free.notify_one();
    }
}
