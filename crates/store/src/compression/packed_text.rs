//! Texts that are always compressed, as configurations are on their way to nodes.
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use quincehatch_core::messages;

/// Longest text that is unpacked (4 MiB). One that claims more is damaged or hostile.
pub(crate) const MAX_TEXT_BYTES: usize = 4 << 20;
/// Level of deflate: a text is packed once and sent to many nodes, so its size matters more than the time.
const COMPRESSION_LEVEL: u8 = 6;

messages! {
    /// A compressed text.
    #[derive(Eq, Default)]
    pub struct PackedText { bytes: Vec<u8> }
}

impl PackedText {
    /// Packs a text; an empty one takes no bytes.
    pub fn pack(text: &str) -> PackedText {
        if text.is_empty() {
            return PackedText::default();
        }
        PackedText { bytes: compress_to_vec(text.as_bytes(), COMPRESSION_LEVEL) }
    }

    /// The text that was packed; `None` if it is damaged or too long.
    pub fn unpack(&self) -> Option<String> {
        if self.bytes.is_empty() {
            return Some(String::new());
        }
        let bytes = decompress_to_vec_with_limit(&self.bytes, MAX_TEXT_BYTES).ok()?;
        String::from_utf8(bytes).ok()
    }

    /// Length of the packed form, in bytes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }
}
