//! The calling side: one request at a time on a connection.
use crate::connection::{Connection, Connector, IdleConnections, Tcp};
use crate::frame::{
    AnswerHeader, FrameKind, Incoming, RequestHeader, encode, invalid, read_frame, write_frame,
};
use crate::{Call, CallError, Destination, Identity, ProcessId, RetrySafety, traffic};
use compact_str::format_compact;
use quincehatch_runtime::seam::{self, World};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::time::Duration;

/// Calls other processes.
pub struct Caller<C: Connector = Tcp> {
    identity: Identity,
    connector: C,
    next_call: AtomicU16,
    idle: IdleConnections<C::Stream>,
}

/// Whether the frame of a call may have left this process.
#[derive(Default)]
struct Progress {
    written: AtomicBool,
}

impl Progress {
    fn set_written(&self, written: bool) {
        self.written.store(written, Ordering::Relaxed);
    }

    /// The error of a call that failed for `cause` at this point.
    fn error(&self, safety: RetrySafety, cause: impl std::fmt::Display) -> CallError {
        if self.written.load(Ordering::Relaxed) {
            return CallError::unanswered(safety, cause);
        }
        CallError::NotSent(format_compact!("{cause}"))
    }
}

/// One call on its way: where it goes, what is asked, and how far it came.
struct Outgoing<'a, Q> {
    to: Destination<'a>,
    request: &'a Q,
    progress: &'a Progress,
}

impl<Q> Clone for Outgoing<'_, Q> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<Q> Copy for Outgoing<'_, Q> {}

impl<Q: Call> Outgoing<'_, Q> {
    fn error(&self, cause: impl std::fmt::Display) -> CallError {
        self.progress.error(self.request.retry_safety(), format_args!("{}: {cause}", self.to.addr))
    }
}

/// A request frame and the number of its call.
struct RequestFrame {
    call: u16,
    bytes: Vec<u8>,
}

/// An answer frame to this call; `answer` is `None` where the process rejected the request.
struct ReceivedAnswer<A> {
    responder: ProcessId,
    answer: Option<A>,
}

impl Caller {
    /// Calls over TCP in the name of `identity`; within the simulator, over its network.
    pub fn new(identity: Identity) -> Arc<Caller> {
        Caller::over(identity, Tcp)
    }
}

impl<C: Connector> Caller<C> {
    /// Calls over connections that `connector` opens.
    pub fn over(identity: Identity, connector: C) -> Arc<Caller<C>> {
        let next_call = AtomicU16::new(0);
        Arc::new(Caller { identity, connector, next_call, idle: IdleConnections::default() })
    }

    /// Sends one request and returns the answer to it.
    ///
    /// The request goes out a second time, on a new connection, only if a kept connection broke and the request
    /// cannot have arrived or may be repeated.
    ///
    /// # Errors
    /// A [`CallError`] that says what is known of the request's effect; also when `within` has passed.
    pub async fn call<Q: Call>(
        &self,
        to: Destination<'_>,
        request: &Q,
        within: Duration,
    ) -> Result<Q::Answer, CallError> {
        let progress = Progress::default();
        let outgoing = Outgoing { to, request, progress: &progress };
        let work = async {
            match seam::current_world() {
                Some(world) => self.call_in_world(world, outgoing).await,
                None => self.call_connected(outgoing).await,
            }
        };
        let answer = seam::timeout(within, work).await;
        answer.unwrap_or_else(|_| Err(outgoing.error("no answer in time")))
    }

    async fn call_connected<Q: Call>(&self, outgoing: Outgoing<'_, Q>) -> Result<Q::Answer, CallError> {
        let safety = outgoing.request.retry_safety();
        // A kept connection may have ended unnoticed, so a request that must not go out twice gets a new one.
        let kept = if safety.allows_retry() { self.idle.take(&outgoing.to) } else { None };
        if let Some(connection) = kept {
            match self.attempt(connection, outgoing).await {
                Err(error) if error.allows_retry(safety) => outgoing.progress.set_written(false),
                ended => return ended,
            }
        }
        let addr = outgoing.to.addr;
        let refused = |error: io::Error| CallError::NotSent(format_compact!("{addr}: {error}"));
        let stream = self.connector.connect(addr).await.map_err(refused)?;
        traffic::count(outgoing.request.kind(), |counts| counts.connections += 1);
        self.attempt(Connection { stream, peer: None }, outgoing).await
    }

    /// Sends the request and reads its answer. The connection is kept only after the answer to this very call.
    async fn attempt<Q: Call>(
        &self,
        mut connection: Connection<C::Stream>,
        outgoing: Outgoing<'_, Q>,
    ) -> Result<Q::Answer, CallError> {
        let to = outgoing.to;
        let broke = |error: io::Error| outgoing.error(error);
        let kind = outgoing.request.kind();
        let receiver = connection.receiver_tag(&to);
        let frame = self.encode_request(receiver, outgoing.request).map_err(broke)?;
        outgoing.progress.set_written(true);
        if let Err(error) = write_frame(&mut connection.stream, &frame.bytes).await {
            // The kernel did not take all of the frame, and no receiver acts on a part of one.
            outgoing.progress.set_written(false);
            return Err(outgoing.error(error));
        }
        traffic::count(kind, |counts| {
            counts.requests += 1;
            counts.request_bytes += frame.bytes.len() as u64;
        });
        let bytes = read_frame(&mut connection.stream).await.map_err(broke)?;
        traffic::count(kind, |counts| {
            counts.answers += 1;
            counts.answer_bytes += bytes.len() as u64;
        });
        let received = decode_answer::<Q>(&bytes, frame.call).map_err(broke)?;
        let responder = received.responder;
        let answer = received.answer.ok_or(CallError::WrongReceiver { by: responder })?;
        if !connection.accepts(&to, responder) {
            return Err(outgoing.error(invalid("another process answers")));
        }
        self.idle.put(to.addr, Connection { peer: Some(responder), ..connection });
        Ok(answer)
    }

    /// The same over the simulator's network, which has no connections between the project's own processes.
    async fn call_in_world<Q: Call>(
        &self,
        world: Arc<dyn World>,
        outgoing: Outgoing<'_, Q>,
    ) -> Result<Q::Answer, CallError> {
        let to = outgoing.to;
        let broke = |error: io::Error| outgoing.error(error);
        let frame = self.encode_request(to.receiver_tag(), outgoing.request).map_err(broke)?;
        outgoing.progress.set_written(true);
        let bytes = world.exchange_frame(to.addr, frame.bytes).await.map_err(broke)?;
        let received = decode_answer::<Q>(&bytes, frame.call).map_err(broke)?;
        let responder = received.responder;
        let answer = received.answer.ok_or(CallError::WrongReceiver { by: responder })?;
        if !to.includes(responder) {
            return Err(outgoing.error(invalid("another process answers")));
        }
        Ok(answer)
    }

    fn encode_request<Q: Call>(&self, receiver: u32, request: &Q) -> io::Result<RequestFrame> {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        let header = RequestHeader { call, sender: self.identity.id().tag(), receiver };
        let bytes = encode(FrameKind::Request, &header, request)?;
        Ok(RequestFrame { call, bytes })
    }
}

/// Decodes a frame that must be the answer to `call`, or the rejection of it.
fn decode_answer<Q: Call>(frame: &[u8], call: u16) -> io::Result<ReceivedAnswer<Q::Answer>> {
    let incoming = Incoming::parse(frame)?;
    let kind = incoming.kind;
    let (header, message) = incoming.header::<AnswerHeader>()?;
    if header.call != call {
        return Err(invalid("an answer to another call"));
    }
    let answer = match kind {
        FrameKind::Answer => Some(borsh::from_slice(message)?),
        FrameKind::Rejected => None,
        FrameKind::Request => return Err(invalid("a request in place of an answer")),
    };
    Ok(ReceivedAnswer { responder: header.responder, answer })
}
