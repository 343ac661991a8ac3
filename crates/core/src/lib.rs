//! Identifiers, result codes and the small records that every other crate shares.
pub mod code;
pub mod index;
pub mod msg;
pub mod words;

pub use code::{Code, End, Error};
pub use words::*;
