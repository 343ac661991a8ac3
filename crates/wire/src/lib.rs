//! Calls between the project's own processes, each with one framed request and one framed answer; and HTTP calls to
//! servers.
//!
//! Every request names its sender, its receiver and its call number; every answer repeats the number and names the
//! process that answers. A process rejects a request that is not meant for it, and a caller accepts only the answer to
//! its own call. The [`Call`] type of a request says whether it may be sent a second time.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]
mod call;
pub mod call_counters;
mod caller;
mod connection;
mod destination;
mod error;
mod frame;
pub mod http;
mod identity;
mod server;

pub use call::{Call, IdempotencyKey, RetrySafety};
pub use caller::Caller;
pub use connection::{Connector, Tcp};
pub use destination::Destination;
pub use error::CallError;
pub use frame::{
    ANSWER_HEADER_BYTES, AnswerHeader, FrameKind, IncomingFrame, LENGTH_BYTES, MAX_FRAME_BYTES,
    PROTOCOL_VERSION, REQUEST_HEADER_BYTES, RequestHeader, encode, read_frame, write_frame,
};
pub use identity::{Identity, ProcessId};
pub use server::{ReceivedRequest, decode_request, encode_answer_frame, respond, serve};
