//! Connections of the client side, and the pool of idle connections for each address.
use crate::{Destination, ProcessId};
use quincehatch_core::Millis;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The largest number of idle connections retained for each address.
const MAX_IDLE_PER_ADDRESS: usize = 8;
/// Time after which all but one of an address's idle connections are closed if they are not used. One burst of calls
/// would otherwise occupy places at the other end's listener for good.
const EXTRA_IDLE_TIMEOUT: Millis = 10_000;
/// Interval at which the idle connections of all addresses are checked.
const SWEEP_INTERVAL: Millis = 2_000;

/// Opens connections.
pub trait Connector: Send + Sync {
    /// The type of the connections.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send;
    /// Connects to an address, `host:port`.
    fn connect(&self, addr: &str) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// Connects over TCP.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tcp;

impl Connector for Tcp {
    type Stream = TcpStream;
    async fn connect(&self, addr: &str) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(addr).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// A connection, and the process known to be at its other end.
pub(crate) struct Connection<S> {
    pub(crate) stream: S,
    /// The process that answered on this connection; `None` before the first answer.
    pub(crate) peer: Option<ProcessId>,
}

impl<S: AsyncRead + Unpin> Connection<S> {
    /// Whether the connection is open and has no unexpected bytes to read.
    fn is_reusable(&mut self) -> bool {
        let mut byte = [0; 1];
        let mut context = Context::from_waker(Waker::noop());
        Pin::new(&mut self.stream).poll_read(&mut context, &mut ReadBuf::new(&mut byte)).is_pending()
    }

    /// The receiver tag of requests on this connection: once the peer has answered, the tag of its incarnation.
    pub(crate) fn receiver_tag(&self, to: &Destination<'_>) -> u32 {
        self.peer.map_or_else(|| to.receiver_tag(), ProcessId::tag)
    }

    /// Whether an answer on this connection may come from `responder`.
    pub(crate) fn accepts(&self, to: &Destination<'_>, responder: ProcessId) -> bool {
        self.peer.map_or_else(|| to.includes(responder), |peer| peer == responder)
    }
}

struct IdleConnection<S> {
    connection: Connection<S>,
    idle_since: Millis,
}

/// The idle connections of a caller.
pub(crate) struct IdleConnections<S>(Mutex<IdleTable<S>>);

struct IdleTable<S> {
    /// The connections to each address, the one that has been idle for longest first.
    by_address: HashMap<String, Vec<IdleConnection<S>>>,
    swept_at: Millis,
}

impl<S> Default for IdleConnections<S> {
    fn default() -> Self {
        IdleConnections(Mutex::new(IdleTable { by_address: HashMap::new(), swept_at: 0 }))
    }
}

impl<S> IdleTable<S> {
    /// Closes connections beyond the first of each address that have been idle for too long.
    fn sweep(&mut self, now: Millis) {
        if now < self.swept_at + SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        for idle in self.by_address.values_mut() {
            let expired = idle.iter().filter(|idle| now >= idle.idle_since + EXTRA_IDLE_TIMEOUT).count();
            idle.drain(..expired.min(idle.len().saturating_sub(1)));
        }
        self.by_address.retain(|_, idle| !idle.is_empty());
    }
}

impl<S: AsyncRead + Unpin> IdleConnections<S> {
    /// Removes and returns an idle connection to the destination. Connections found to have ended or to lead to another
    /// process are closed.
    pub(crate) fn take(&self, to: &Destination<'_>) -> Option<Connection<S>> {
        let mut table = self.0.lock().unwrap();
        let idle = table.by_address.get_mut(to.addr)?;
        while let Some(IdleConnection { mut connection, .. }) = idle.pop() {
            if connection.is_reusable() && connection.peer.is_some_and(|peer| to.includes(peer)) {
                return Some(connection);
            }
        }
        None
    }

    /// Retains a connection for later calls, or closes it if its address already has the largest number of idle
    /// connections.
    pub(crate) fn put(&self, addr: &str, connection: Connection<S>, now: Millis) {
        let mut table = self.0.lock().unwrap();
        table.sweep(now);
        let idle = table.by_address.entry(addr.to_owned()).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(IdleConnection { connection, idle_since: now });
        }
    }
}

#[cfg(test)]
mod tests;
