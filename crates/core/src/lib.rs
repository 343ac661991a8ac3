//! Identifiers, result codes and the small records that every other crate shares.
pub mod code;
pub mod msg;
pub mod name_table;
pub mod words;

pub use code::{Error, ErrorCode, Outcome};
pub use words::*;
