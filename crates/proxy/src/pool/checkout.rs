//! Checks a connection out of a server's pool and back in.
use crate::pool::connection::{ConnectTarget, Connection};
use crate::pool::connection_pool::{ConnectionPool, PooledServer};
use crate::pool::limits::PoolLimits;
use crate::pool::slots::{ConnectionUse, Grant};
use crate::session::state::SessionSetup;
use quincehatch_core::{Error, ErrorCode, Millis};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::futures::Notified;

/// When a request that found no connection may come again.
const RETRY_AFTER: Millis = 200;
/// Opening a connection is given at least this long.
const MIN_OPEN_TIME: Millis = 1;

/// Why no connection was had; nothing was sent to the server.
#[derive(Debug)]
pub enum CheckoutError {
    /// All are in use, or the server takes no new work.
    Busy(Error),
    /// Opening one took all the time there was.
    TimedOut(Duration),
    /// It could not be opened.
    ConnectFailed(std::io::Error),
}

impl CheckoutError {
    /// What a client is told.
    pub fn into_error(self) -> Error {
        match self {
            CheckoutError::Busy(error) => error,
            CheckoutError::TimedOut(_) => ErrorCode::DeadlinePassed.without_detail(),
            CheckoutError::ConnectFailed(error) => ErrorCode::ServerFailed.with_detail(error.kind()),
        }
    }
}

/// What connection is wanted, and until when.
pub struct CheckoutRequest<'a> {
    /// Name of this node.
    pub node: &'a str,
    /// What the connection is wanted for.
    pub usage: ConnectionUse,
    /// The limits in force.
    pub limits: PoolLimits,
    /// The session that is to be set up; a connection that has it already is taken first.
    pub setup: &'a SessionSetup,
    /// Nobody waits longer.
    pub deadline: Millis,
}

/// A connection in use. Dropped without [`Checkout::check_in`] it is closed, which rolls back what is open on it.
pub struct Checkout<S: PooledServer> {
    connection: Option<Connection>,
    server: Arc<S>,
    usage: ConnectionUse,
    limits: PoolLimits,
    epoch: usize,
    checked_in: bool,
}

/// Checks out a connection to `server`; while all are in use the request waits in a bounded queue.
pub async fn check_out<S: PooledServer>(
    server: &Arc<S>,
    request: &CheckoutRequest<'_>,
) -> Result<Checkout<S>, CheckoutError> {
    let limits = request.limits;
    loop {
        let pool = server.pool();
        // Enabled before the slots are looked at, so that a connection freed in between is not missed.
        let freed = pool.freed.notified();
        tokio::pin!(freed);
        freed.as_mut().enable();
        let epoch = pool.epoch.load(Ordering::SeqCst);
        let fits = |idle: &Connection| !idle.is_closed() && idle.has_setup(request.setup);
        let checkout = |connection| Checkout {
            connection,
            server: server.clone(),
            usage: request.usage,
            limits,
            epoch,
            checked_in: false,
        };
        match pool.slots.check_out(request.usage, limits.connections, limits.read_share, fits) {
            Grant::Idle(connection) if connection.is_closed() => {
                drop(checkout(None));
                continue;
            }
            Grant::Idle(connection) => return Ok(checkout(Some(connection))),
            Grant::OpenNew => {
                let mut opened = checkout(None);
                opened.connection = Some(open(server, request).await?);
                return Ok(opened);
            }
            Grant::Full => {}
        }
        if server.is_draining() {
            let error = ErrorCode::ServerFailed.with_detail("the server is draining");
            return Err(CheckoutError::Busy(error));
        }
        wait_in_queue(pool, request, freed).await.map_err(CheckoutError::Busy)?;
    }
}

async fn open<S: PooledServer>(
    server: &Arc<S>,
    request: &CheckoutRequest<'_>,
) -> Result<Connection, CheckoutError> {
    let left = request.deadline.saturating_sub(now()).max(MIN_OPEN_TIME);
    let left = Duration::from_millis(left);
    let addr = server.addr();
    let target = ConnectTarget {
        node: request.node,
        server: server.name(),
        addr: &addr,
        keepalive: request.limits.keepalive,
    };
    let opening = Connection::open(target, server.on_disconnect());
    // This side's own deadline is no finding of the kernel's: it counts as a late reply at most.
    match seam::timeout(left, opening).await {
        Err(_) => Err(CheckoutError::TimedOut(left)),
        Ok(opened) => opened.map_err(CheckoutError::ConnectFailed),
    }
}

async fn wait_in_queue(
    pool: &ConnectionPool,
    request: &CheckoutRequest<'_>,
    freed: Pin<&mut Notified<'_>>,
) -> Result<(), Error> {
    let queued_before = pool.queued.fetch_add(1, Ordering::SeqCst);
    let result = if queued_before >= request.limits.queue {
        Err(ErrorCode::QueueFull)
    } else {
        let left = Duration::from_millis(request.deadline.saturating_sub(now()));
        seam::timeout(left, freed).await.map_err(|_| ErrorCode::ConnectionsBusy)
    };
    pool.queued.fetch_sub(1, Ordering::SeqCst);
    result.map_err(|code| code.without_detail().with_retry_after(RETRY_AFTER))
}

impl<S: PooledServer> Checkout<S> {
    /// The connection.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a checkout in use has its connection")
    }

    /// The server it leads to.
    pub fn server(&self) -> &Arc<S> {
        &self.server
    }

    /// Hands the connection in for others; nothing may be open on it, and no reply pending.
    pub fn check_in(mut self) {
        let Some(connection) = self.connection.take() else { return };
        let pool = self.server.pool();
        let is_outdated = self.epoch != pool.epoch.load(Ordering::SeqCst);
        if is_outdated || connection.is_closed() {
            pool.slots.release(self.usage);
        } else {
            drop(pool.slots.check_in(self.usage, self.limits.connections, connection));
        }
        pool.freed.notify_one();
        self.checked_in = true;
    }
}

impl<S: PooledServer> Drop for Checkout<S> {
    fn drop(&mut self) {
        if self.checked_in {
            return;
        }
        let pool = self.server.pool();
        pool.slots.release(self.usage);
        pool.freed.notify_one();
    }
}
