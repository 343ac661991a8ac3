//! The held links to one server (§4.3, §4.10): counted under one lock, lent to one visit or transaction at a time.
use crate::direct::DirectProxy;
use crate::direct::connection::{Connection, Values};
use crate::evidence::{HealthSignal, classify_end};
use crate::ports::RejectReason;
use crate::registry::ServerEntry;
use quincehatch_core::{ErrorCode, Millis};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::oneshot;

/// A new link that is not there by then is given up.
const OPEN_WITHIN: Millis = 1_000;
/// How long a server that takes no more links is left alone, at least.
const FULL: Millis = 60;
/// A server that was full a moment ago gets back what is not needed.
const CROWDED: Millis = 1_000;

#[derive(Default)]
struct Inner {
    idle: Vec<Connection>,
    /// Lent ones and those on their way.
    out: usize,
    /// By priority, then by age. Whoever waits gets a link or leave to open one.
    waits: BTreeMap<(u64, u64), oneshot::Sender<Checkout>>,
    next: u64,
    /// Changes when the server leaves or starts anew: links from before are not kept.
    age: u64,
    /// The server is full: none is opened until then.
    full_until: Millis,
}

#[derive(Default)]
pub struct DirectPool {
    inner: Mutex<Inner>,
}

/// Why no link was had. Nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckoutError {
    /// None came free in time.
    Busy,
    /// The server takes no more.
    Full,
    /// It could not be reached, or another stands there.
    Broke,
}

impl CheckoutError {
    pub fn code(self) -> ErrorCode {
        match self {
            CheckoutError::Busy | CheckoutError::Full => ErrorCode::ConnectionsBusy,
            CheckoutError::Broke => ErrorCode::ServerFailed,
        }
    }
}

/// A link that is lent; dropped without [`Lent::back`] it is closed, which rolls back what is open on it.
pub struct Checkout {
    pub row: Arc<ServerEntry>,
    pub connection: Option<Connection>,
    age: u64,
    /// It is counted no more.
    over: bool,
}

impl Drop for Checkout {
    fn drop(&mut self) {
        drop(self.connection.take());
        self.free(None);
    }
}

impl Checkout {
    /// Gives the link back in good order; one on which an answer is owed is closed instead.
    pub fn check_in(mut self) {
        let link = self.connection.take().filter(Connection::is_usable);
        self.free(link);
    }
    fn free(&mut self, link: Option<Connection>) {
        if !std::mem::replace(&mut self.over, true) {
            freed(&self.row, link, self.age);
        }
    }
}

/// One is out no more. Whoever waits first gets the link, or leave to open one: lent on the way already, so that nothing
/// is lost where the one who waited is gone.
fn freed(row: &Arc<ServerEntry>, link: Option<Connection>, age: u64) {
    let mut p = row.direct_pool.inner.lock().unwrap();
    p.out -= 1;
    let mut link = link.filter(|_| age == p.age);
    while let Some((_, w)) = p.waits.pop_first() {
        p.out += 1;
        let lent = Checkout { row: row.clone(), connection: link.take(), age: p.age, over: false };
        match w.send(lent) {
            Ok(()) => return,
            Err(mut l) => {
                (link, l.over) = (l.connection.take(), true);
                p.out -= 1;
            }
        }
    }
    // What others may be waiting for is not kept.
    let crowded = now() < p.full_until + CROWDED;
    p.idle.extend(link.filter(|_| !crowded));
}

impl DirectPool {
    /// Links from before are closed as they come back: the server leaves, or is not the same any more.
    pub fn close(&self) {
        let mut p = self.inner.lock().unwrap();
        p.age += 1;
        p.idle.clear();
    }
    pub fn checked_out(&self) -> usize {
        self.inner.lock().unwrap().out
    }
    pub fn waiting(&self) -> usize {
        self.inner.lock().unwrap().waits.len()
    }
    pub fn counts(&self) -> (usize, usize) {
        let p = self.inner.lock().unwrap();
        (p.idle.len(), p.out)
    }
    /// Idle links unused since then are closed, all but `keep`.
    pub fn trim(&self, before: Millis, keep: usize) {
        let mut p = self.inner.lock().unwrap();
        let mut spare = p.idle.len().saturating_sub(keep);
        p.idle.retain(|l| {
            let go = spare > 0 && l.used < before;
            spare -= usize::from(go);
            !go
        });
    }

    /// An idle link, one in the wanted context first.
    fn idle(&self, row: &Arc<ServerEntry>, held: &DirectProxy, want: &Values) -> Option<Checkout> {
        loop {
            let mut p = self.inner.lock().unwrap();
            let i = p.idle.iter().rposition(|l| l.values == *want).or(p.idle.len().checked_sub(1))?;
            let mut link = p.idle.remove(i);
            let age = p.age;
            let Some(e) = link.broken() else {
                p.out += 1;
                drop(p);
                return Some(Checkout { row: row.clone(), connection: Some(link), age, over: false });
            };
            drop(p);
            let j = held.proxy.health_settings();
            row.health.lock().unwrap().connection_ended(
                now(),
                &j,
                classify_end(&e, row.connection_usage(false)),
            );
        }
    }
}

/// Takes a link to `row` until `until`: an idle one, a new one within the share, or the next that comes free.
pub async fn check_out(
    held: &DirectProxy,
    row: &Arc<ServerEntry>,
    want: &Values,
    prio: u64,
    until: Millis,
) -> Result<Checkout, CheckoutError> {
    let most = held.connection_share(&row.group()).max;
    loop {
        if let Some(l) = row.direct_pool.idle(row, held, want) {
            return Ok(l);
        }
        let wait = {
            let mut p = row.direct_pool.inner.lock().unwrap();
            let full = p.full_until > now();
            if p.out + p.idle.len() < most && !full {
                p.out += 1;
                Err(p.age)
            } else {
                let (tx, rx) = oneshot::channel();
                let key = (prio, p.next);
                p.next += 1;
                p.waits.insert(key, tx);
                // While the server takes no more, nobody may be there to hand a link on: it is tried again then.
                Ok((key, rx, if full { until.min(p.full_until) } else { until }))
            }
        };
        let mut lent = match wait {
            Err(age) => Checkout { row: row.clone(), connection: None, age, over: false },
            Ok((key, mut rx, again)) => {
                let left = Duration::from_millis(again.saturating_sub(now()).max(1));
                let got = seam::timeout(left, &mut rx).await.ok().and_then(Result::ok);
                let got = got.or_else(|| {
                    // It may have come in the very moment in which the time was over.
                    row.direct_pool.inner.lock().unwrap().waits.remove(&key);
                    rx.try_recv().ok()
                });
                match got {
                    None if now() >= until => return Err(CheckoutError::Busy),
                    None => continue,
                    Some(lent) if lent.connection.is_some() => return Ok(lent),
                    Some(lent) => lent,
                }
            }
        };
        lent.connection = Some(open(held, row).await?);
        return Ok(lent);
    }
}

async fn open(held: &DirectProxy, row: &Arc<ServerEntry>) -> Result<Connection, CheckoutError> {
    let asked = now();
    let fut = held.servers.connect(row.addr(), row.group(), row.name.clone(), held.keepalive_settings());
    let j = held.proxy.health_settings();
    match seam::timeout(Duration::from_millis(OPEN_WITHIN), fut).await {
        Ok(Ok(Ok((line, _)))) => {
            row.note_answer(asked);
            Ok(Connection::new(line))
        }
        Ok(Ok(Err((RejectReason::TooManyConnections, _)))) => {
            row.direct_pool.inner.lock().unwrap().full_until = now() + FULL + fastrand::u64(0..FULL);
            Err(CheckoutError::Full)
        }
        Ok(Ok(Err((RejectReason::Busy, _)))) => Err(CheckoutError::Busy),
        Ok(Ok(Err(_))) => {
            // Another server has the address by now.
            row.note_failure(asked, true);
            row.health.lock().unwrap().add_evidence(now(), &j, HealthSignal::Reset);
            Err(CheckoutError::Broke)
        }
        Ok(Err(e)) => {
            row.note_failure(asked, e.kind() == std::io::ErrorKind::ConnectionRefused);
            row.health.lock().unwrap().connection_ended(
                now(),
                &j,
                classify_end(&e, row.connection_usage(true)),
            );
            Err(CheckoutError::Broke)
        }
        Err(_) => {
            row.note_failure(asked, false);
            row.health.lock().unwrap().add_evidence(now(), &j, HealthSignal::Unresponsive);
            Err(CheckoutError::Broke)
        }
    }
}
