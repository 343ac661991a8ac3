//! The layout of frames: a length of three bytes, one byte for version and kind, a header, then the message in borsh.
use crate::ProcessId;
use borsh::{BorshDeserialize, BorshSerialize};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Longest frame taken; a longer one ends the connection.
pub const FRAME_MAX: usize = 4 << 20;
/// Bytes of the length before each frame.
pub const LENGTH_BYTES: usize = 3;
/// Bytes of a request before its message: version and kind, then the header.
pub const REQUEST_HEADER_BYTES: usize = 11;
/// The same of an answer.
pub const ANSWER_HEADER_BYTES: usize = 9;
/// The version of this layout, in the upper half of a frame's first byte.
pub const PROTOCOL_VERSION: u8 = 2;

const VERSION_SHIFT: u8 = 4;
const KIND_MASK: u8 = 0x0f;

/// What a frame is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// A request; its message is the call.
    Request,
    /// The answer to a request.
    Answer,
    /// The process is not the receiver; there is no message.
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
    fn byte(self) -> u8 {
        (PROTOCOL_VERSION << VERSION_SHIFT) | self.number()
    }
    fn of(byte: u8) -> io::Result<FrameKind> {
        if byte >> VERSION_SHIFT != PROTOCOL_VERSION {
            return Err(invalid("another version of the protocol"));
        }
        let kind = FrameKind::ALL.into_iter().find(|k| k.number() == byte & KIND_MASK);
        kind.ok_or_else(|| invalid("no such kind of frame"))
    }
}

/// Stands before every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct RequestHeader {
    /// The caller's number for this call; the answer repeats it.
    pub call: u16,
    /// The tag of the calling incarnation.
    pub sender: u32,
    /// The tag of the process that is meant: a name, one incarnation, or anyone.
    pub receiver: u32,
}

/// Stands before every answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct AnswerHeader {
    /// The number of the call that is answered.
    pub call: u16,
    /// Who answers.
    pub responder: ProcessId,
}

/// A frame that came in, its header read and its message not yet.
#[derive(Debug)]
pub struct Incoming<'a> {
    /// What it is.
    pub kind: FrameKind,
    rest: &'a [u8],
}

impl<'a> Incoming<'a> {
    /// Reads the first byte of a frame.
    pub fn parse(frame: &'a [u8]) -> io::Result<Incoming<'a>> {
        let (first, rest) = frame.split_first().ok_or_else(|| invalid("an empty frame"))?;
        Ok(Incoming { kind: FrameKind::of(*first)?, rest })
    }
    /// Reads the header; what is left is the message.
    pub fn header<H: BorshDeserialize>(mut self) -> io::Result<(H, &'a [u8])> {
        let header = H::deserialize(&mut self.rest)?;
        Ok((header, self.rest))
    }
}

/// A frame without the length before it.
pub fn encode<H: BorshSerialize, T: BorshSerialize>(
    kind: FrameKind,
    header: &H,
    message: &T,
) -> io::Result<Vec<u8>> {
    let mut frame = vec![kind.byte()];
    header.serialize(&mut frame)?;
    message.serialize(&mut frame)?;
    if frame.len() > FRAME_MAX {
        return Err(invalid("the frame is too long"));
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

/// Reads the next frame. Cancelled, the stream is not to be used again.
pub async fn read_frame<S: AsyncRead + Unpin>(stream: &mut S) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length[..LENGTH_BYTES]).await?;
    let length = u32::from_le_bytes(length) as usize;
    if length > FRAME_MAX {
        return Err(invalid("the frame is too long"));
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    Ok(frame)
}

pub(super) fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}
