//! Links of one server, shared between transactions, never inside one (§4.3).
use crate::connection::Link;
use crate::evidence::{ConnectionEnd, classify_end};
use crate::session::SessionSetup;
use crate::slots::{ConnectionSlots, ConnectionUse, Grant};
use quincehatch_config::configuration::Configuration;
use quincehatch_core::{Error, ErrorCode, Millis};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::http::KeepaliveSettings;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Notify;

#[derive(Default)]
pub struct ConnectionPool {
    pub slots: ConnectionSlots<Link>,
    free: Notify,
    /// Visits held for want of a link.
    pub queued: AtomicUsize,
    epoch: AtomicUsize,
}

/// Caps that hold at a visit's time.
#[derive(Clone, Copy)]
pub struct PoolLimits {
    pub links: usize,
    pub share: usize,
    pub held: usize,
    pub watch: KeepaliveSettings,
}

impl PoolLimits {
    pub fn of(bp: &Configuration, primary: bool) -> PoolLimits {
        let links = if primary { bp.connections.per_primary } else { bp.connections.per_replica } as usize;
        let share = if primary {
            (links * bp.connections.primary_lookup_percent as usize / 100).max(1)
        } else {
            links
        };
        let watch = KeepaliveSettings {
            idle: Duration::from_millis(bp.health.keepalive_idle_ms),
            user_timeout: Duration::from_millis(bp.health.user_timeout_ms),
        };
        PoolLimits { links, share, held: bp.queue.max_waiting as usize, watch }
    }
}

/// A link on loan. Dropped without a word it counts as gone.
pub struct Checkout {
    pub link: Option<Link>,
    row: Arc<crate::registry::ServerEntry>,
    use_: ConnectionUse,
    caps: PoolLimits,
    epoch: usize,
    settled: bool,
}

impl ConnectionPool {
    /// Drops idle links; with `close` none is granted until it is called with `false`.
    pub fn shut(&self, close: bool) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        self.slots.clear(close);
        self.free.notify_waiters();
    }
    pub fn prune(&self) {
        if self.slots.prune(|l| !l.is_closed()) > 0 {
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
    row: &Arc<crate::registry::ServerEntry>,
    me: &str,
    u: ConnectionUse,
    caps: PoolLimits,
    ctx: &SessionSetup,
    until: Millis,
) -> Result<Checkout, NoLink> {
    loop {
        let woken = row.pool.free.notified();
        tokio::pin!(woken);
        woken.as_mut().enable();
        let epoch = row.pool.epoch.load(Ordering::SeqCst);
        let fits = |l: &Link| !l.is_closed() && l.wears(ctx);
        let loan = |link| Checkout { link, row: row.clone(), use_: u, caps, epoch, settled: false };
        match row.pool.slots.check_out(u, caps.links, caps.share, fits) {
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
        if row.is_draining() {
            return Err(NoLink::Busy(ErrorCode::ServerFailed.with_detail("the server is leaving")));
        }
        let held = row.pool.queued.fetch_add(1, Ordering::SeqCst);
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
        row.pool.queued.fetch_sub(1, Ordering::SeqCst);
        r.map_err(NoLink::Busy)?;
    }
}

impl Checkout {
    pub fn connection(&mut self) -> &mut Link {
        self.link.as_mut().expect("a loan in use has its link")
    }
    pub fn row(&self) -> &Arc<crate::registry::ServerEntry> {
        &self.row
    }
    /// Gives the link back in good order.
    pub fn check_in(mut self) {
        let Some(l) = self.link.take() else { return };
        let stale = self.epoch != self.row.pool.epoch.load(Ordering::SeqCst);
        if stale || l.is_closed() {
            self.row.pool.slots.release(self.use_);
        } else {
            drop(self.row.pool.slots.check_in(self.use_, self.caps.links, l));
        }
        self.row.pool.free.notify_one();
        self.settled = true;
    }
    pub fn ending_of(&self, e: &std::io::Error, owing: bool) -> ConnectionEnd {
        classify_end(e, owing, self.row.is_draining())
    }
}

impl Drop for Checkout {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        self.row.pool.slots.release(self.use_);
        self.row.pool.free.notify_one();
    }
}
