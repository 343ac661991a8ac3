//! The layout of frames: a length of three bytes, one byte for version and kind, a header, then the message in borsh.
use crate::ProcessId;
use borsh::{BorshDeserialize, BorshSerialize};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// The longest frame accepted, in bytes; a longer one ends the connection.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Bytes of the length before each frame.
pub const LENGTH_BYTES: usize = 3;
/// Bytes of a request before its message: version and kind, then the header.
pub const REQUEST_HEADER_BYTES: usize = 11;
/// Bytes of an answer before its message: version and kind, then the header.
pub const ANSWER_HEADER_BYTES: usize = 9;
/// The version of this layout, in the upper half of a frame's first byte.
pub const PROTOCOL_VERSION: u8 = 2;

const VERSION_SHIFT: u8 = 4;
const KIND_MASK: u8 = 0x0f;

/// The kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A request; its message is the call.
    Request,
    /// The answer to a request.
    Answer,
    /// The notice that the process is not the receiver of the request; it has no message.
    Rejected,
}

impl FrameKind {
    const ALL: [FrameKind; 3] = [FrameKind::Request, FrameKind::Answer, FrameKind::Rejected];

    fn number(self) -> u8 {
        match self {
            FrameKind::Request => 1,
            FrameKind::Answer => 2,
            FrameKind::Rejected => 3,
        }
    }

    /// The first byte of a frame of this kind.
    fn to_byte(self) -> u8 {
        (PROTOCOL_VERSION << VERSION_SHIFT) | self.number()
    }

    fn from_byte(byte: u8) -> io::Result<FrameKind> {
        if byte >> VERSION_SHIFT != PROTOCOL_VERSION {
            return Err(invalid_data("another version of the protocol"));
        }
        let number = byte & KIND_MASK;
        let kind = FrameKind::ALL.into_iter().find(|kind| kind.number() == number);
        kind.ok_or_else(|| invalid_data("no such kind of frame"))
    }
}

/// The header of every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RequestHeader {
    /// The caller's number for this call; the answer repeats it.
    pub call: u16,
    /// The tag of the calling incarnation.
    pub sender: u32,
    /// The tag of the intended receiver: every incarnation of a name, one incarnation, or any process.
    pub receiver: u32,
}

/// The header of every answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AnswerHeader {
    /// The number of the answered call.
    pub call: u16,
    /// The process that answers.
    pub responder: ProcessId,
}

/// A received frame whose header and message are not decoded yet.
#[derive(Debug)]
pub struct IncomingFrame<'a> {
    /// The kind of the frame.
    pub kind: FrameKind,
    rest: &'a [u8],
}

impl<'a> IncomingFrame<'a> {
    /// Reads the first byte of a frame.
    ///
    /// # Errors
    /// `InvalidData` for an empty frame, another protocol version or an unknown kind.
    pub fn parse(frame: &'a [u8]) -> io::Result<IncomingFrame<'a>> {
        let (first, rest) = frame.split_first().ok_or_else(|| invalid_data("an empty frame"))?;
        Ok(IncomingFrame { kind: FrameKind::from_byte(*first)?, rest })
    }

    /// Decodes the header; returns it with the bytes of the message.
    ///
    /// # Errors
    /// `InvalidData` when the frame ends within the header.
    pub fn header<H: BorshDeserialize>(mut self) -> io::Result<(H, &'a [u8])> {
        let header = H::deserialize(&mut self.rest)?;
        Ok((header, self.rest))
    }
}

/// Encodes a frame, without the length that precedes it on a stream.
///
/// # Errors
/// `InvalidData` when the frame would be longer than [`MAX_FRAME_BYTES`].
pub fn encode<H: BorshSerialize, T: BorshSerialize>(
    kind: FrameKind,
    header: &H,
    message: &T,
) -> io::Result<Vec<u8>> {
    let mut frame = vec![kind.to_byte()];
    header.serialize(&mut frame)?;
    message.serialize(&mut frame)?;
    if frame.len() > MAX_FRAME_BYTES {
        return Err(invalid_data("the frame is too long"));
    }
    Ok(frame)
}

/// Writes a frame and the length before it.
pub async fn write_frame<S: AsyncWrite + Unpin>(stream: &mut S, frame: &[u8]) -> io::Result<()> {
    let length = (frame.len() as u32).to_le_bytes();
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + frame.len());
    bytes.extend_from_slice(&length[..LENGTH_BYTES]);
    bytes.extend_from_slice(frame);
    stream.write_all(&bytes).await
}

/// Reads the next frame. When this future is cancelled, the stream must not be used again, as part of a frame
/// may have been read.
pub async fn read_frame<S: AsyncRead + Unpin>(stream: &mut S) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length[..LENGTH_BYTES]).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(invalid_data("the frame is too long"));
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}

pub(super) fn invalid_data(cause: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}
