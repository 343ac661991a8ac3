//! The network of the model check: its requests are answered only as the explorer chooses.
use crate::TestRequest;
use quincehatch_wire::{
    AnswerHeader, Connector, FrameKind, Identity, IncomingFrame, LENGTH_BYTES, RequestHeader, encode, respond,
};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// An event that the explorer may choose for a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Answer,
    /// The request is executed, and the connection breaks.
    LoseAnswer,
    /// The request is not executed, and the connection breaks.
    LoseRequest,
    /// The request is executed and answered under the number of the previous call.
    AnswerPrevious,
    /// The request is executed and answered twice.
    AnswerTwice,
    /// Another process answers; on a connection with an earlier answer it is another incarnation of the same name.
    AnswerFromOther,
    /// Another incarnation of the process listens from now on; all connections break.
    Restart,
    /// Another process listens from now on; all connections break.
    Replace,
}

impl Event {
    pub const ALL: [Event; 8] = [
        Event::Answer,
        Event::LoseAnswer,
        Event::LoseRequest,
        Event::AnswerPrevious,
        Event::AnswerTwice,
        Event::AnswerFromOther,
        Event::Restart,
        Event::Replace,
    ];
}

#[derive(Default)]
struct ModelConnection {
    /// Bytes from the caller that the process has not read yet.
    sent: Vec<u8>,
    /// Bytes that the caller has not read yet.
    reply: VecDeque<u8>,
    answered: bool,
    broken: bool,
    closed: bool,
}

/// A request that a process executed.
#[derive(Debug)]
pub struct Execution {
    /// The name of the process.
    pub process: String,
    pub request: TestRequest,
}

/// All connections, and the process that listens.
pub struct State {
    connections: Vec<ModelConnection>,
    listener: Identity,
    incarnation: u64,
    /// The requests that were executed.
    pub executions: Vec<Execution>,
}

#[derive(Clone)]
pub struct Network(pub Arc<Mutex<State>>);

pub struct Stream {
    network: Network,
    connection: usize,
}

impl Network {
    pub fn new() -> Network {
        let listener = Identity::with_incarnation("a", 1);
        let state = State { connections: Vec::new(), listener, incarnation: 1, executions: Vec::new() };
        Network(Arc::new(Mutex::new(state)))
    }
    /// Connections on which a request is pending.
    pub fn pending_connections(&self) -> Vec<usize> {
        let state = self.0.lock().unwrap();
        let has_pending_request = |connection: &ModelConnection| {
            !connection.sent.is_empty() && !connection.broken && !connection.closed
        };
        (0..state.connections.len()).filter(|i| has_pending_request(&state.connections[*i])).collect()
    }
    pub fn apply(&self, connection: usize, event: Event) {
        let mut state = self.0.lock().unwrap();
        match event {
            Event::Restart | Event::Replace => state.replace_process(event),
            Event::LoseRequest => state.connections[connection].broken = true,
            _ => state.serve(connection, event),
        }
    }
}

impl State {
    /// Replaces the process by another incarnation, or by another process.
    fn replace_process(&mut self, event: Event) {
        self.incarnation += 1;
        let name = if event == Event::Replace { "b" } else { self.listener.name().as_str() };
        self.listener = Identity::with_incarnation(name, self.incarnation);
        self.connections.iter_mut().for_each(|connection| connection.broken = true);
    }

    fn serve(&mut self, connection: usize, event: Event) {
        let bytes = std::mem::take(&mut self.connections[connection].sent);
        let frame = &bytes[LENGTH_BYTES..];
        let (executions, identity) = (&mut self.executions, &self.listener);
        let execute = |request: TestRequest| {
            executions.push(Execution { process: identity.name().to_string(), request });
            std::future::ready(request.number())
        };
        let reply = poll_ready(respond(identity, frame, as_shared_fn(execute))).unwrap();
        let (header, _) = IncomingFrame::parse(frame).unwrap().header::<RequestHeader>().unwrap();
        let forged_answer =
            |call, responder| encode(FrameKind::Answer, &AnswerHeader { call, responder }, &999u32).unwrap();
        let answers = match event {
            Event::Answer => vec![reply],
            Event::AnswerTwice => vec![reply.clone(), reply],
            Event::AnswerPrevious => vec![forged_answer(header.call.wrapping_sub(1), identity.id())],
            Event::AnswerFromOther => {
                let name = if self.connections[connection].answered { identity.name().as_str() } else { "b" };
                vec![forged_answer(header.call, Identity::with_incarnation(name, 77).id())]
            }
            _ => vec![],
        };
        let target = &mut self.connections[connection];
        target.broken = answers.is_empty();
        target.answered = true;
        for answer in answers {
            let length = (answer.len() as u32).to_le_bytes();
            target.reply.extend(&length[..LENGTH_BYTES]);
            target.reply.extend(answer);
        }
    }
}

/// Wraps a closure that has state of its own for `respond`, which accepts only an `Fn`.
fn as_shared_fn<F: FnMut(TestRequest) -> std::future::Ready<u32>>(
    execute: F,
) -> impl Fn(TestRequest) -> std::future::Ready<u32> {
    let execute = std::cell::RefCell::new(execute);
    move |request| (execute.borrow_mut())(request)
}

/// Returns the output of a future that is ready at the first poll.
fn poll_ready<T>(future: impl Future<Output = T>) -> T {
    match std::pin::pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(value) => value,
        Poll::Pending => panic!("the future is pending"),
    }
}

impl Connector for Network {
    type Stream = Stream;
    async fn connect(&self, _: &str) -> io::Result<Stream> {
        let mut state = self.0.lock().unwrap();
        state.connections.push(ModelConnection::default());
        Ok(Stream { network: self.clone(), connection: state.connections.len() - 1 })
    }
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context<'_>, into: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let connection = &mut self.network.0.lock().unwrap().connections[self.connection];
        if connection.reply.is_empty() {
            return if connection.broken {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            } else {
                Poll::Pending
            };
        }
        let count = into.remaining().min(connection.reply.len());
        let bytes: Vec<u8> = connection.reply.drain(..count).collect();
        into.put_slice(&bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    /// A broken connection accepts bytes too, as a kernel does until the reset arrives.
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.network.0.lock().unwrap().connections[self.connection].sent.extend_from_slice(bytes);
        Poll::Ready(Ok(bytes.len()))
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.network.0.lock().unwrap().connections[self.connection].closed = true;
    }
}
