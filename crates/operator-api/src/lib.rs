//! Requests and replies of the operator API, as JSON over HTTP.
//!
//! Every operator call is a `POST /op/<name>` with a request object and a reply object. A node serves the calls,
//! `quincehatchctl` sends them; both use the types of this crate. This crate does no I/O.
//!
//! Former names of request fields, and of fields in the reports that nodes send each other, are still accepted as serde
//! aliases.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

mod call;
pub mod configuration;
mod error;
pub mod explain;
pub mod fan_out;
pub mod maintenance;
pub mod members;
pub mod nodes;
pub mod placements;
pub mod servers;
pub mod status;
pub mod tenants;

pub use call::{CallName, OperatorCall};
pub use error::{ErrorDetail, ErrorReply};
