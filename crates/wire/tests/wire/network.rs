//! A network of the model: connections whose requests are answered only as the explorer chooses.
use crate::Ask;
use quincehatch_wire::{
    AnswerHeader, Connector, FrameKind, Identity, Incoming, LENGTH_BYTES, RequestHeader, encode, respond,
};
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What may become of a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Answer,
    /// It is run, and the connection breaks.
    LoseAnswer,
    /// It is not run, and the connection breaks.
    LoseRequest,
    /// It is run and answered under the number of the call before.
    AnswerPrevious,
    /// It is run and answered twice.
    AnswerTwice,
    /// Another answers: on a connection that was answered before, another incarnation of the same name.
    AnswerFromOther,
    /// Another incarnation of the process is there; connections break.
    Restart,
    /// Another process is there; connections break.
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
struct Line {
    /// From the caller, not yet taken.
    sent: Vec<u8>,
    /// For the caller.
    back: VecDeque<u8>,
    answered: bool,
    broken: bool,
    closed: bool,
}

/// All connections, and who listens.
pub struct State {
    lines: Vec<Line>,
    listens: Identity,
    incarnation: u64,
    /// What was run, and by the process of which name.
    pub ran: Vec<(String, Ask)>,
}

#[derive(Clone)]
pub struct Network(pub Arc<Mutex<State>>);

pub struct Stream {
    network: Network,
    line: usize,
}

impl Network {
    pub fn new() -> Network {
        let listens = Identity::with_incarnation("a", 1);
        let state = State { lines: Vec::new(), listens, incarnation: 1, ran: Vec::new() };
        Network(Arc::new(Mutex::new(state)))
    }
    /// Connections on which a request waits.
    pub fn waiting(&self) -> Vec<usize> {
        let state = self.0.lock().unwrap();
        let waits = |line: &Line| !line.sent.is_empty() && !line.broken && !line.closed;
        (0..state.lines.len()).filter(|i| waits(&state.lines[*i])).collect()
    }
    pub fn apply(&self, line: usize, event: Event) {
        let mut state = self.0.lock().unwrap();
        match event {
            Event::Restart | Event::Replace => state.start_anew(event == Event::Replace),
            Event::LoseRequest => state.lines[line].broken = true,
            _ => state.serve(line, event),
        }
    }
}

impl State {
    fn start_anew(&mut self, other: bool) {
        self.incarnation += 1;
        let name = if other { "b" } else { self.listens.name().as_str() };
        self.listens = Identity::with_incarnation(name, self.incarnation);
        self.lines.iter_mut().for_each(|line| line.broken = true);
    }

    fn serve(&mut self, line: usize, event: Event) {
        let bytes = std::mem::take(&mut self.lines[line].sent);
        let frame = &bytes[LENGTH_BYTES..];
        let (ran, me) = (&mut self.ran, &self.listens);
        let run = |ask: Ask| {
            ran.push((me.name().to_string(), ask));
            std::future::ready(ask.number())
        };
        let back = now(respond(me, frame, run_once(run))).unwrap();
        let (header, _) = Incoming::parse(frame).unwrap().header::<RequestHeader>().unwrap();
        let other =
            |call, responder| encode(FrameKind::Answer, &AnswerHeader { call, responder }, &999u32).unwrap();
        let answers = match event {
            Event::Answer => vec![back],
            Event::AnswerTwice => vec![back.clone(), back],
            Event::AnswerPrevious => vec![other(header.call.wrapping_sub(1), me.id())],
            Event::AnswerFromOther => {
                let name = if self.lines[line].answered { me.name().as_str() } else { "b" };
                vec![other(header.call, Identity::with_incarnation(name, 77).id())]
            }
            _ => vec![],
        };
        let to = &mut self.lines[line];
        to.broken = answers.is_empty();
        to.answered = true;
        for answer in answers {
            let length = (answer.len() as u32).to_le_bytes();
            to.back.extend(&length[..LENGTH_BYTES]);
            to.back.extend(answer);
        }
    }
}

/// `respond` takes what may be called often; here it is called once.
fn run_once<F: FnMut(Ask) -> std::future::Ready<u32>>(run: F) -> impl Fn(Ask) -> std::future::Ready<u32> {
    let run = std::cell::RefCell::new(run);
    move |ask| (run.borrow_mut())(ask)
}

/// The result of a future that does not wait.
fn now<T>(future: impl Future<Output = T>) -> T {
    match std::pin::pin!(future).poll(&mut Context::from_waker(Waker::noop())) {
        Poll::Ready(value) => value,
        Poll::Pending => panic!("it waits"),
    }
}

impl Connector for Network {
    type Stream = Stream;
    async fn connect(&self, _: &str) -> io::Result<Stream> {
        let mut state = self.0.lock().unwrap();
        state.lines.push(Line::default());
        Ok(Stream { network: self.clone(), line: state.lines.len() - 1 })
    }
}

impl AsyncRead for Stream {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context<'_>, into: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let line = &mut self.network.0.lock().unwrap().lines[self.line];
        if line.back.is_empty() {
            return if line.broken {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            } else {
                Poll::Pending
            };
        }
        let count = into.remaining().min(line.back.len());
        let bytes: Vec<u8> = line.back.drain(..count).collect();
        into.put_slice(&bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    /// A broken connection takes bytes all the same, as a kernel does before the reset has come.
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.network.0.lock().unwrap().lines[self.line].sent.extend_from_slice(bytes);
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
        self.network.0.lock().unwrap().lines[self.line].closed = true;
    }
}
