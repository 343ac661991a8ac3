//! The client side of calls: one request at a time on a connection.
use crate::connection::{Connection, Connector, IdleConnections, Tcp};
use crate::frame::{
    AnswerHeader, FrameKind, IncomingFrame, RequestHeader, encode, invalid_data, read_frame, write_frame,
};
use crate::{Call, CallError, Destination, Identity, ProcessId, RetrySafety, call_counters};
use compact_str::format_compact;
use quincehatch_runtime::now;
use quincehatch_runtime::seam::{self, World};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::time::Duration;

/// Sends requests to other processes and reuses idle connections.
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

    /// Returns the error of a call that failed for `cause` at this point.
    fn error(&self, safety: RetrySafety, cause: impl std::fmt::Display) -> CallError {
        if self.written.load(Ordering::Relaxed) {
            return CallError::unanswered(safety, cause);
        }
        CallError::NotSent(format_compact!("{cause}"))
    }
}

/// A call in progress: its destination, its request and whether its frame may have been sent.
struct OutgoingCall<'a, Q> {
    to: Destination<'a>,
    request: &'a Q,
    progress: &'a Progress,
}

impl<Q> Clone for OutgoingCall<'_, Q> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<Q> Copy for OutgoingCall<'_, Q> {}

impl<Q: Call> OutgoingCall<'_, Q> {
    fn error(&self, cause: impl std::fmt::Display) -> CallError {
        self.progress.error(self.request.retry_safety(), format_args!("{}: {cause}", self.to.addr))
    }
}

/// A request frame and the number of its call.
struct RequestFrame {
    call: u16,
    bytes: Vec<u8>,
}

/// A decoded answer frame to this call; `answer` is `None` where the process rejected the request.
struct ReceivedAnswer<A> {
    responder: ProcessId,
    answer: Option<A>,
}

impl Caller {
    /// Creates a caller that identifies itself as `identity`. It calls over TCP, or within the simulator over the
    /// simulated network.
    pub fn new(identity: Identity) -> Arc<Caller> {
        Caller::with_connector(identity, Tcp)
    }
}

impl<C: Connector> Caller<C> {
    /// Creates a caller whose connections are opened by `connector`.
    pub fn with_connector(identity: Identity, connector: C) -> Arc<Caller<C>> {
        let next_call = AtomicU16::new(0);
        Arc::new(Caller { identity, connector, next_call, idle: IdleConnections::default() })
    }

    /// Sends one request and returns the answer to it.
    ///
    /// The request is sent a second time, on a new connection, only if a reused connection broke and the request
    /// cannot have arrived or may be repeated.
    ///
    /// # Errors
    /// A [`CallError`] that says what is known of the request's effect, also when `timeout` has passed.
    pub async fn call<Q: Call>(
        &self,
        to: Destination<'_>,
        request: &Q,
        timeout: Duration,
    ) -> Result<Q::Answer, CallError> {
        let progress = Progress::default();
        let outgoing = OutgoingCall { to, request, progress: &progress };
        let exchange = async {
            match seam::current_world() {
                Some(world) => self.call_in_world(world, outgoing).await,
                None => self.call_connected(outgoing).await,
            }
        };
        let answer = seam::timeout(timeout, exchange).await;
        answer.unwrap_or_else(|_| Err(outgoing.error("no answer in time")))
    }

    async fn call_connected<Q: Call>(&self, outgoing: OutgoingCall<'_, Q>) -> Result<Q::Answer, CallError> {
        let safety = outgoing.request.retry_safety();
        // An idle connection may have ended unnoticed, so a request that must not be sent twice gets a new one.
        let reused = if safety.allows_retry() { self.idle.take(&outgoing.to) } else { None };
        if let Some(connection) = reused {
            match self.attempt(connection, outgoing).await {
                Err(error) if error.allows_retry(safety) => outgoing.progress.set_written(false),
                result => return result,
            }
        }
        let addr = outgoing.to.addr;
        let connect_error = |error: io::Error| CallError::NotSent(format_compact!("{addr}: {error}"));
        let stream = self.connector.connect(addr).await.map_err(connect_error)?;
        call_counters::count(outgoing.request.kind(), |counts| counts.connections += 1);
        self.attempt(Connection { stream, peer: None }, outgoing).await
    }

    /// Sends the request and reads its answer. The connection is reused only after the answer to this call arrived on
    /// it.
    async fn attempt<Q: Call>(
        &self,
        mut connection: Connection<C::Stream>,
        outgoing: OutgoingCall<'_, Q>,
    ) -> Result<Q::Answer, CallError> {
        let to = outgoing.to;
        let call_error = |error: io::Error| outgoing.error(error);
        let kind = outgoing.request.kind();
        let receiver = connection.receiver_tag(&to);
        let frame = self.encode_request(receiver, outgoing.request).map_err(call_error)?;
        outgoing.progress.set_written(true);
        if let Err(error) = write_frame(&mut connection.stream, &frame.bytes).await {
            // The kernel did not accept the whole frame, and no receiver acts on an incomplete frame.
            outgoing.progress.set_written(false);
            return Err(outgoing.error(error));
        }
        call_counters::count(kind, |counts| {
            counts.requests += 1;
            counts.request_bytes += frame.bytes.len() as u64;
        });
        let bytes = read_frame(&mut connection.stream).await.map_err(call_error)?;
        call_counters::count(kind, |counts| {
            counts.answers += 1;
            counts.answer_bytes += bytes.len() as u64;
        });
        let received = decode_answer::<Q>(&bytes, frame.call).map_err(call_error)?;
        let responder = received.responder;
        let answer = received.answer.ok_or(CallError::WrongReceiver { by: responder })?;
        if !connection.accepts(&to, responder) {
            return Err(outgoing.error(invalid_data("another process answers")));
        }
        self.idle.put(to.addr, Connection { peer: Some(responder), ..connection }, now());
        Ok(answer)
    }

    /// Sends the request and reads its answer over the simulator's network, which has no connections between the
    /// project's own processes.
    async fn call_in_world<Q: Call>(
        &self,
        world: Arc<dyn World>,
        outgoing: OutgoingCall<'_, Q>,
    ) -> Result<Q::Answer, CallError> {
        let to = outgoing.to;
        let call_error = |error: io::Error| outgoing.error(error);
        let frame = self.encode_request(to.receiver_tag(), outgoing.request).map_err(call_error)?;
        outgoing.progress.set_written(true);
        let bytes = world.exchange_frame(to.addr, frame.bytes).await.map_err(call_error)?;
        let received = decode_answer::<Q>(&bytes, frame.call).map_err(call_error)?;
        let responder = received.responder;
        let answer = received.answer.ok_or(CallError::WrongReceiver { by: responder })?;
        if !to.includes(responder) {
            return Err(outgoing.error(invalid_data("another process answers")));
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
    let incoming = IncomingFrame::parse(frame)?;
    let kind = incoming.kind;
    let (header, message) = incoming.header::<AnswerHeader>()?;
    if header.call != call {
        return Err(invalid_data("an answer to another call"));
    }
    let answer = match kind {
        FrameKind::Answer => Some(borsh::from_slice(message)?),
        FrameKind::Rejected => None,
        FrameKind::Request => return Err(invalid_data("a request in place of an answer")),
    };
    Ok(ReceivedAnswer { responder: header.responder, answer })
}
