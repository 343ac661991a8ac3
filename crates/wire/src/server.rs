//! The answering side.
use crate::frame::{
    AnswerHeader, FrameKind, Incoming, RequestHeader, encode, invalid, read_frame, write_frame,
};
use crate::{Call, Identity};
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long a failed accept is left before the next.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers requests on `listener` until the task is dropped; at most `max` connections at once.
pub async fn serve<Q, F, Fut>(listener: TcpListener, max: usize, me: Identity, answer: F)
where
    Q: Call,
    F: Fn(Q) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Q::Answer> + Send,
{
    let room = Arc::new(tokio::sync::Semaphore::new(max));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (me, answer) = (me.clone(), answer.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let _ = stream.set_nodelay(true);
            let _ = serve_connection(stream, &me, answer).await;
        });
    }
}

/// Answers one caller until its connection ends or another sender's frame comes on it.
async fn serve_connection<Q, F, Fut>(mut stream: TcpStream, me: &Identity, answer: F) -> io::Result<()>
where
    Q: Call,
    F: Fn(Q) -> Fut,
    Fut: Future<Output = Q::Answer>,
{
    let mut caller = None;
    loop {
        let frame = read_frame(&mut stream).await?;
        let (header, _) = Incoming::parse(&frame)?.header::<RequestHeader>()?;
        if *caller.get_or_insert(header.sender) != header.sender {
            return Err(invalid("another sender on the same connection"));
        }
        let back = respond(me, &frame, &answer).await?;
        write_frame(&mut stream, &back).await?;
    }
}

/// A request frame that was read.
#[derive(Debug)]
pub enum Received<Q> {
    /// It is for this process, which answers it under that number.
    Request {
        /// The caller's number for it.
        call: u16,
        /// What is asked.
        request: Q,
    },
    /// It is for another process; the frame tells the caller so.
    Rejected(Vec<u8>),
}

/// Reads a request frame. What is not for this process is declined.
pub fn receive<Q: Call>(me: &Identity, frame: &[u8]) -> io::Result<Received<Q>> {
    let incoming = Incoming::parse(frame)?;
    if incoming.kind != FrameKind::Request {
        return Err(invalid("not a request"));
    }
    let (header, message) = incoming.header::<RequestHeader>()?;
    if !me.is_receiver(header.receiver) {
        return Ok(Received::Rejected(encode_answer::<Q>(me, header.call, None)?));
    }
    Ok(Received::Request { call: header.call, request: borsh::from_slice(message)? })
}

/// The frame that answers a call.
pub fn encode_answer_frame<Q: Call>(me: &Identity, call: u16, answer: &Q::Answer) -> io::Result<Vec<u8>> {
    encode_answer::<Q>(me, call, Some(answer))
}

/// The answer to one request frame, as a frame; a request that is not for this process is declined without being run.
pub async fn respond<Q, F, Fut>(me: &Identity, frame: &[u8], answer: F) -> io::Result<Vec<u8>>
where
    Q: Call,
    F: Fn(Q) -> Fut,
    Fut: Future<Output = Q::Answer>,
{
    match receive::<Q>(me, frame)? {
        Received::Request { call, request } => encode_answer_frame::<Q>(me, call, &answer(request).await),
        Received::Rejected(frame) => Ok(frame),
    }
}

fn encode_answer<Q: Call>(me: &Identity, call: u16, answer: Option<&Q::Answer>) -> io::Result<Vec<u8>> {
    let header = AnswerHeader { call, responder: me.id() };
    match answer {
        Some(answer) => encode(FrameKind::Answer, &header, answer),
        None => encode(FrameKind::Rejected, &header, &()),
    }
}
