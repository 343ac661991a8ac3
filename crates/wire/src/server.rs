//! The server side of calls.
use crate::frame::{
    AnswerHeader, FrameKind, IncomingFrame, RequestHeader, encode, invalid_data, read_frame, write_frame,
};
use crate::{Call, Identity};
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, which mostly means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers requests on `listener` until the future is dropped. At most `max_connections` connections are open at once.
pub async fn serve<Q, F, Fut>(listener: TcpListener, max_connections: usize, identity: Identity, answer: F)
where
    Q: Call,
    F: Fn(Q) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Q::Answer> + Send,
{
    let connections = Arc::new(tokio::sync::Semaphore::new(max_connections));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (identity, answer) = (identity.clone(), answer.clone());
        tokio::spawn(async move {
            let _permit = permit;
            let _ = stream.set_nodelay(true);
            let _ = serve_connection(stream, &identity, answer).await;
        });
    }
}

/// Answers the requests of one caller until its connection ends or a frame of another sender arrives on it.
async fn serve_connection<Q, F, Fut>(mut stream: TcpStream, identity: &Identity, answer: F) -> io::Result<()>
where
    Q: Call,
    F: Fn(Q) -> Fut,
    Fut: Future<Output = Q::Answer>,
{
    let mut sender = None;
    loop {
        let request = read_frame(&mut stream).await?;
        let (header, _) = IncomingFrame::parse(&request)?.header::<RequestHeader>()?;
        if *sender.get_or_insert(header.sender) != header.sender {
            return Err(invalid_data("another sender on the same connection"));
        }
        let reply = respond(identity, &request, &answer).await?;
        write_frame(&mut stream, &reply).await?;
    }
}

/// A decoded request frame.
#[derive(Debug)]
pub enum ReceivedRequest<Q> {
    /// A request for this process, to be answered under the number of the call.
    Request {
        /// The caller's number for the call.
        call: u16,
        /// The decoded request.
        request: Q,
    },
    /// The request was for another process; this frame is the rejection to send to the caller.
    Rejected(Vec<u8>),
}

/// Decodes a request frame. A request for another process is rejected.
///
/// # Errors
/// `InvalidData` when the frame is not a request of type `Q`.
pub fn decode_request<Q: Call>(identity: &Identity, frame: &[u8]) -> io::Result<ReceivedRequest<Q>> {
    let incoming = IncomingFrame::parse(frame)?;
    if incoming.kind != FrameKind::Request {
        return Err(invalid_data("not a request"));
    }
    let (header, message) = incoming.header::<RequestHeader>()?;
    if !identity.is_receiver(header.receiver) {
        let rejection = AnswerHeader { call: header.call, responder: identity.id() };
        return Ok(ReceivedRequest::Rejected(encode(FrameKind::Rejected, &rejection, &())?));
    }
    Ok(ReceivedRequest::Request { call: header.call, request: borsh::from_slice(message)? })
}

/// Encodes the frame that answers a call.
///
/// # Errors
/// `InvalidData` when the answer is too long for a frame.
pub fn encode_answer_frame<Q: Call>(
    identity: &Identity,
    call: u16,
    answer: &Q::Answer,
) -> io::Result<Vec<u8>> {
    let header = AnswerHeader { call, responder: identity.id() };
    encode(FrameKind::Answer, &header, answer)
}

/// Returns the answer to one request frame, as a frame. A request for another process is rejected and not executed.
///
/// # Errors
/// `InvalidData` when the frame is not a request of type `Q`, or the answer is too long for a frame.
pub async fn respond<Q, F, Fut>(identity: &Identity, frame: &[u8], answer: F) -> io::Result<Vec<u8>>
where
    Q: Call,
    F: Fn(Q) -> Fut,
    Fut: Future<Output = Q::Answer>,
{
    match decode_request::<Q>(identity, frame)? {
        ReceivedRequest::Request { call, request } => {
            encode_answer_frame::<Q>(identity, call, &answer(request).await)
        }
        ReceivedRequest::Rejected(frame) => Ok(frame),
    }
}
