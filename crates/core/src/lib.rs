//! Identifiers, result codes and the small records that every other crate shares.
pub mod code;
pub mod name_table;
pub mod msg;
pub mod words;

pub use code::{ErrorCode, Outcome, Error};
pub use words::*;
