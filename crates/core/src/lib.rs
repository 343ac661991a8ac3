//! Identifiers, result codes and the small records that every other crate shares.
#![warn(
    missing_docs,
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::min_ident_chars
)]

mod error;
mod error_code;
mod hashing;
mod ids;
mod message_macro;
pub mod name_table;
mod position;
mod primary_assignment;
mod server;

pub use error::{Error, Outcome};
pub use error_code::ErrorCode;
pub use hashing::{hash64, mix64, rendezvous, rendezvous_weight};
pub use ids::{ChangeNumber, FencingToken, Labels, Millis, Name, Version};
pub use position::Position;
pub use primary_assignment::PrimaryAssignment;
pub use server::{HeartbeatVersion, Role, ServerHeartbeat, ServerRecord, ServerState, Stamp};
