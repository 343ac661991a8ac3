//! The server side of calls.
use crate::frame::{
    AnswerHeader, FrameKind, IncomingFrame, RequestHeader, encode, invalid_data, read_frame, write_frame,
};
use crate::open_connections::{OpenConnections, Place};
use crate::{Call, Identity};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream, lookup_host};

/// Pause after a failed accept, which mostly means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connections that the kernel queues until they are accepted. In a large fleet all processes may connect at the same
/// moment; the opening packet of a connection beyond the queue is lost and sent again a second later.
const ACCEPT_QUEUE: u32 = 1_024;

/// Opens a listener for the calls of other processes.
///
/// # Errors
/// The error of the address look-up, or of binding the address.
pub async fn listen(address: &str) -> io::Result<TcpListener> {
    let address = lookup_host(address).await?.next().ok_or(io::ErrorKind::AddrNotAvailable)?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_QUEUE)
}

/// Answers requests on `listener` until the future is dropped. At most `max_connections` connections are open at once;
/// an idle one is closed for a new one.
pub async fn serve<Q, F, Fut>(listener: TcpListener, max_connections: usize, identity: Identity, answer: F)
where
    Q: Call,
    F: Fn(Q) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Q::Answer> + Send,
{
    let connections = OpenConnections::new(max_connections);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let place = connections.take_place().await;
        let (identity, answer) = (identity.clone(), answer.clone());
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let _ = serve_connection(stream, &identity, answer, &place).await;
        });
    }
}

/// Answers the requests of one caller until its connection ends, is closed for another one, or a frame of another sender
/// arrives on it. A request that was read is always answered.
async fn serve_connection<Q, F, Fut>(
    mut stream: TcpStream,
    identity: &Identity,
    answer: F,
    place: &Place,
) -> io::Result<()>
where
    Q: Call,
    F: Fn(Q) -> Fut,
    Fut: Future<Output = Q::Answer>,
{
    let mut sender = None;
    loop {
        place.set_idle();
        let request = tokio::select! {
            biased;
            request = read_frame(&mut stream) => request?,
            () = place.closed_for_another() => return Ok(()),
        };
        let (header, _) = IncomingFrame::parse(&request)?.header::<RequestHeader>()?;
        if *sender.get_or_insert(header.sender) != header.sender {
            return Err(invalid_data("another sender on the same connection"));
        }
        place.set_busy(header.sender);
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
