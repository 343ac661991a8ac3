//! Texts that are always compressed; configurations are sent to nodes in this form.
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use quincehatch_core::messages;

/// Maximum length of an unpacked text (4 MiB). Input that unpacks to more is damaged or hostile.
pub(crate) const MAX_TEXT_BYTES: usize = 4 << 20;
/// Deflate level. A text is packed once and sent to many nodes, so its size matters more than the time to pack it.
const COMPRESSION_LEVEL: u8 = 6;

messages! {
    /// A compressed text.
    #[derive(Eq, Default)]
    pub struct PackedText { bytes: Vec<u8> }
}

impl PackedText {
    /// Packs a text. An empty text is packed to no bytes.
    pub fn pack(text: &str) -> PackedText {
        if text.is_empty() {
            return PackedText::default();
        }
        PackedText { bytes: compress_to_vec(text.as_bytes(), COMPRESSION_LEVEL) }
    }

    /// Returns the unpacked text; `None` if the packed form is damaged or the result would be too long.
    pub fn unpack(&self) -> Option<String> {
        if self.bytes.is_empty() {
            return Some(String::new());
        }
        let bytes = decompress_to_vec_with_limit(&self.bytes, MAX_TEXT_BYTES).ok()?;
        String::from_utf8(bytes).ok()
    }

    /// Returns the length of the packed form, in bytes.
    pub fn size(&self) -> usize {
        self.bytes.len()
    }
}
