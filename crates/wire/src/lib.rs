//! Calls between the project's own processes: one framed request, one framed answer (§2.6).
//!
//! Every request names its sender, its receiver and its call number; every answer repeats the number and names the
//! process that gave it. A process declines what is not meant for it, and a caller takes an answer only to its own
//! call. Whether a call may be sent a second time is said by its [`Call`] type.
mod call;
mod caller;
mod destination;
mod error;
mod frame;
pub mod http;
mod identity;
mod server;

pub use call::{Call, IdempotencyKey, RetrySafety};
pub use caller::{Caller, Connector, Tcp};
pub use destination::Destination;
pub use error::CallError;
pub use frame::{
    ANSWER_HEADER_BYTES, AnswerHeader, FRAME_MAX, FrameKind, Incoming, LENGTH_BYTES, PROTOCOL_VERSION,
    REQUEST_HEADER_BYTES, RequestHeader, encode, read_frame, write_frame,
};
pub use identity::{Identity, ProcessId};
pub use server::{Received, encode_answer_frame, receive, respond, serve};
