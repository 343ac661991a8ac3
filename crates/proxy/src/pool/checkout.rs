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

/// Suggested wait before a client retries a request that found no connection.
const RETRY_AFTER: Millis = 200;
/// The shortest timeout for opening a connection.
const MIN_OPEN_TIME: Millis = 1;

/// Why no connection could be checked out. Nothing was sent to the server.
#[derive(Debug)]
pub enum CheckoutError {
    /// All connections are in use, or the server is draining.
    Busy(Error),
    /// The deadline passed while a connection was being opened; the field is the timeout that applied.
    TimedOut(Duration),
    /// The connection could not be opened.
    ConnectFailed(std::io::Error),
}

impl CheckoutError {
    /// Converts the failure into the error that the client receives.
    pub fn into_error(self) -> Error {
        match self {
            CheckoutError::Busy(error) => error,
            CheckoutError::TimedOut(_) => ErrorCode::DeadlinePassed.without_detail(),
            CheckoutError::ConnectFailed(error) => ErrorCode::ServerFailed.with_detail(error.kind()),
        }
    }
}

/// The parameters of one checkout.
pub struct CheckoutRequest<'a> {
    /// Name of this node.
    pub node: &'a str,
    /// What the connection will be used for.
    pub usage: ConnectionUse,
    /// The limits in force.
    pub limits: PoolLimits,
    /// The session setup that the request needs; a connection that already has it is preferred.
    pub setup: &'a SessionSetup,
    /// The time at which the request stops waiting for a connection.
    pub deadline: Millis,
}

/// A checked-out connection. If it is dropped without [`Checkout::check_in`], it is closed, and the server rolls back
/// the transaction that is open on it.
pub struct Checkout<S: PooledServer> {
    connection: Option<Connection>,
    server: Arc<S>,
    usage: ConnectionUse,
    limits: PoolLimits,
    epoch: usize,
    checked_in: bool,
}

/// Checks out a connection to `server`. While all connections are in use, the request waits in a bounded queue.
pub async fn check_out<S: PooledServer>(
    server: &Arc<S>,
    request: &CheckoutRequest<'_>,
) -> Result<Checkout<S>, CheckoutError> {
    let limits = request.limits;
    loop {
        let pool = server.pool();
        // Enabled before the slots are inspected, so that a connection freed in between is not missed.
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
                opened.connection = Some(open_connection(server, request).await?);
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

async fn open_connection<S: PooledServer>(
    server: &Arc<S>,
    request: &CheckoutRequest<'_>,
) -> Result<Connection, CheckoutError> {
    let timeout_ms = request.deadline.saturating_sub(now()).max(MIN_OPEN_TIME);
    let open_timeout = Duration::from_millis(timeout_ms);
    let addr = server.addr();
    let target = ConnectTarget {
        node: request.node,
        server: server.name(),
        addr: &addr,
        keepalive: request.limits.keepalive,
    };
    let opening = Connection::open(target, server.on_disconnect());
    // A timeout of this node's own is not a failure reported by the kernel, so it counts at most as a late reply.
    match seam::timeout(open_timeout, opening).await {
        Err(_) => Err(CheckoutError::TimedOut(open_timeout)),
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
        let time_left = Duration::from_millis(request.deadline.saturating_sub(now()));
        seam::timeout(time_left, freed).await.map_err(|_| ErrorCode::ConnectionsBusy)
    };
    pool.queued.fetch_sub(1, Ordering::SeqCst);
    result.map_err(|code| code.without_detail().with_retry_after(RETRY_AFTER))
}

impl<S: PooledServer> Checkout<S> {
    /// The checked-out connection.
    pub fn connection(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("a checkout in use has its connection")
    }

    /// The server that the connection leads to.
    pub fn server(&self) -> &Arc<S> {
        &self.server
    }

    /// Returns the connection to the pool. No transaction may be open on it, and no reply may be pending.
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
