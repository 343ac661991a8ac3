//! Words, ids, result codes, messages, tables, blueprint and plumbing shared by every plane (§2).
pub mod blueprint;
mod check;
pub mod code;
pub mod http;
pub mod index;
pub mod logs;
pub mod msg;
pub mod objects;
pub mod rng;
pub mod rt;
pub mod settings;
mod shadow;
pub mod wire;
pub mod words;

pub use code::{Code, End, Error};
pub use words::*;
