//! Byte strings and texts that are stored and sent compressed with deflate.

mod packed_bytes;
mod packed_text;

pub use packed_bytes::PackedBytes;
pub(crate) use packed_text::MAX_TEXT_BYTES;
pub use packed_text::PackedText;
