//! The calling side: one request at a time on a connection, a few idle connections kept for each address.
use crate::frame::{
    AnswerHeader, FrameKind, Incoming, RequestHeader, encode, invalid, read_frame, write_frame,
};
use crate::{Call, CallError, Destination, Identity, ProcessId, RetrySafety};
use compact_str::format_compact;
use quincehatch_runtime::seam::{self, World};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Idle connections kept for each address.
const IDLE_MAX: usize = 8;

/// Opens connections.
pub trait Connector: Send + Sync {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send;
    /// Connects to an address.
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

/// A connection, and who was found at its other end.
struct Connection<S> {
    stream: S,
    peer: Option<ProcessId>,
}

impl<S: AsyncRead + Unpin> Connection<S> {
    /// Open, and without a byte that nobody asked for.
    fn is_quiet(&mut self) -> bool {
        let mut byte = [0; 1];
        let mut context = Context::from_waker(Waker::noop());
        Pin::new(&mut self.stream).poll_read(&mut context, &mut ReadBuf::new(&mut byte)).is_pending()
    }
    /// The receiver as this side knows it: by its incarnation once it has answered here.
    fn receiver(&self, to: &Destination<'_>) -> u32 {
        self.peer.map_or_else(|| to.receiver(), ProcessId::tag)
    }
    fn expects(&self, to: &Destination<'_>, responder: ProcessId) -> bool {
        self.peer.map_or_else(|| to.is(responder), |peer| peer == responder)
    }
}

/// Calls other processes.
pub struct Caller<C: Connector = Tcp> {
    me: Identity,
    connector: C,
    next_call: AtomicU16,
    idle: Mutex<HashMap<String, Vec<Connection<C::Stream>>>>,
}

/// Whether the frame of a call may have left.
#[derive(Default)]
struct Progress {
    written: AtomicBool,
}

impl Progress {
    fn set(&self, written: bool) {
        self.written.store(written, Ordering::Relaxed);
    }
    fn error(&self, repeat: RetrySafety, why: impl std::fmt::Display) -> CallError {
        match self.written.load(Ordering::Relaxed) {
            true => CallError::unanswered(repeat, why),
            false => CallError::NotSent(format_compact!("{why}")),
        }
    }
}

impl Caller {
    /// Calls over TCP in the name of `me`; over the simulator's network within it.
    pub fn new(me: Identity) -> Arc<Caller> {
        Caller::over(me, Tcp)
    }
}

impl<C: Connector> Caller<C> {
    /// Calls over connections of that kind.
    pub fn over(me: Identity, connector: C) -> Arc<Caller<C>> {
        let (next_call, idle) = (AtomicU16::new(0), Mutex::default());
        Arc::new(Caller { me, connector, next_call, idle })
    }

    /// One request and the answer to it. A request goes out a second time, on a new connection, only if a kept one
    /// broke and it cannot have arrived or may be repeated.
    pub async fn call<Q: Call>(
        &self,
        to: Destination<'_>,
        request: &Q,
        within: Duration,
    ) -> Result<Q::Answer, CallError> {
        let progress = Progress::default();
        let work = async {
            match seam::current_world() {
                Some(world) => self.call_in_world(world, to, request, &progress).await,
                None => self.call_connected(to, request, &progress).await,
            }
        };
        let late = || progress.error(request.retry_safety(), format_args!("{}: no answer in time", to.addr));
        seam::timeout(within, work).await.unwrap_or_else(|_| Err(late()))
    }

    async fn call_connected<Q: Call>(
        &self,
        to: Destination<'_>,
        request: &Q,
        progress: &Progress,
    ) -> Result<Q::Answer, CallError> {
        // A kept connection may have ended unnoticed: what must not go out twice is worth a new one.
        let kept = if request.retry_safety().allows_retry() { self.take_idle(&to) } else { None };
        if let Some(connection) = kept {
            match self.attempt(connection, to, request, progress).await {
                Err(error) if error.allows_retry(request.retry_safety()) => progress.set(false),
                ended => return ended,
            }
        }
        let refused = |e: io::Error| CallError::NotSent(format_compact!("{}: {e}", to.addr));
        let stream = self.connector.connect(to.addr).await.map_err(refused)?;
        self.attempt(Connection { stream, peer: None }, to, request, progress).await
    }

    /// Sends the request and reads its answer. The connection is kept only after the answer to this very call.
    async fn attempt<Q: Call>(
        &self,
        mut connection: Connection<C::Stream>,
        to: Destination<'_>,
        request: &Q,
        progress: &Progress,
    ) -> Result<Q::Answer, CallError> {
        let broke = |e: io::Error| progress.error(request.retry_safety(), format_args!("{}: {e}", to.addr));
        let (call, frame) = self.encode(connection.receiver(&to), request).map_err(broke)?;
        progress.set(true);
        if let Err(e) = write_frame(&mut connection.stream, &frame).await {
            // The kernel did not take all of it, and nobody acts on a part.
            progress.set(false);
            return Err(broke(e));
        }
        let frame = read_frame(&mut connection.stream).await.map_err(broke)?;
        let (responder, answer) = decode::<Q>(&frame, call).map_err(broke)?;
        let answer = answer.ok_or(CallError::WrongReceiver { by: responder })?;
        if !connection.expects(&to, responder) {
            return Err(broke(invalid("another process answers")));
        }
        self.keep(to.addr, Connection { peer: Some(responder), ..connection });
        Ok(answer)
    }

    async fn call_in_world<Q: Call>(
        &self,
        world: Arc<dyn World>,
        to: Destination<'_>,
        request: &Q,
        progress: &Progress,
    ) -> Result<Q::Answer, CallError> {
        let broke = |e: io::Error| progress.error(request.retry_safety(), format_args!("{}: {e}", to.addr));
        let (call, frame) = self.encode(to.receiver(), request).map_err(broke)?;
        progress.set(true);
        let frame = world.exchange_frame(to.addr, frame).await.map_err(broke)?;
        let (responder, answer) = decode::<Q>(&frame, call).map_err(broke)?;
        let answer = answer.ok_or(CallError::WrongReceiver { by: responder })?;
        if !to.is(responder) {
            return Err(broke(invalid("another process answers")));
        }
        Ok(answer)
    }

    fn encode<Q: Call>(&self, receiver: u32, request: &Q) -> io::Result<(u16, Vec<u8>)> {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let header = RequestHeader { call, sender: self.me.id().tag(), receiver };
        Ok((call, encode(FrameKind::Request, &header, request)?))
    }

    /// An idle connection to that very process; those that ended or lead to another are closed.
    fn take_idle(&self, to: &Destination<'_>) -> Option<Connection<C::Stream>> {
        let mut idle = self.idle.lock().unwrap();
        let kept = idle.get_mut(to.addr)?;
        while let Some(mut connection) = kept.pop() {
            if connection.is_quiet() && connection.peer.is_some_and(|peer| to.is(peer)) {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, addr: &str, connection: Connection<C::Stream>) {
        let mut idle = self.idle.lock().unwrap();
        let kept = idle.entry(addr.to_owned()).or_default();
        if kept.len() < IDLE_MAX {
            kept.push(connection);
        }
    }
}

/// Who answered and what, if that is the answer to this call; nothing where the process declined it.
fn decode<Q: Call>(frame: &[u8], call: u16) -> io::Result<(ProcessId, Option<Q::Answer>)> {
    let incoming = Incoming::parse(frame)?;
    let kind = incoming.kind;
    let (header, message) = incoming.header::<AnswerHeader>()?;
    if header.call != call {
        return Err(invalid("an answer to another call"));
    }
    match kind {
        FrameKind::Answer => Ok((header.responder, Some(borsh::from_slice(message)?))),
        FrameKind::Rejected => Ok((header.responder, None)),
        FrameKind::Request => Err(invalid("a request in place of an answer")),
    }
}
