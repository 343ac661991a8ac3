//! Connections of the client side, and the pool of idle connections for each address.
use crate::{Destination, ProcessId};
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

/// The idle connections of a caller, by address.
pub(crate) struct IdleConnections<S>(Mutex<HashMap<String, Vec<Connection<S>>>>);

impl<S> Default for IdleConnections<S> {
    fn default() -> Self {
        IdleConnections(Mutex::default())
    }
}

impl<S: AsyncRead + Unpin> IdleConnections<S> {
    /// Removes and returns an idle connection to the destination. Connections found to have ended or to lead to another
    /// process are closed.
    pub(crate) fn take(&self, to: &Destination<'_>) -> Option<Connection<S>> {
        let mut by_address = self.0.lock().unwrap();
        let idle = by_address.get_mut(to.addr)?;
        while let Some(mut connection) = idle.pop() {
            if connection.is_reusable() && connection.peer.is_some_and(|peer| to.includes(peer)) {
                return Some(connection);
            }
        }
        None
    }

    /// Retains a connection for later calls, or closes it if its address already has the largest number of idle
    /// connections.
    pub(crate) fn put(&self, addr: &str, connection: Connection<S>) {
        let mut by_address = self.0.lock().unwrap();
        let idle = by_address.entry(addr.to_owned()).or_default();
        if idle.len() < MAX_IDLE_PER_ADDRESS {
            idle.push(connection);
        }
    }
}
