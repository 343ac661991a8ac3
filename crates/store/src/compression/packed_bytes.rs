//! Byte strings that are compressed if that makes them shorter.
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use quincehatch_core::messages;

/// Maximum length of an unpacked byte string (32 MiB). Input that unpacks to more is damaged or hostile.
const MAX_UNPACKED_BYTES: usize = 32 << 20;
/// Byte strings below this length (1 KiB) are not compressed, because that costs more than it saves.
const MIN_COMPRESSED_INPUT_BYTES: usize = 1 << 10;
/// Deflate level. It takes little processor time, and JSON still becomes several times shorter.
const COMPRESSION_LEVEL: u8 = 3;

messages! {
    /// A byte string in its packed form.
    #[derive(Eq)]
    pub enum PackedBytes {
        /// The uncompressed bytes.
        Plain {
            /// The bytes.
            bytes: Vec<u8>
        },
        /// The bytes compressed with deflate.
        Deflated {
            /// The compressed form.
            bytes: Vec<u8>
        }
    }
}

impl PackedBytes {
    /// Packs a byte string, and compresses it if that makes it shorter.
    pub fn pack(bytes: Vec<u8>) -> Self {
        if bytes.len() < MIN_COMPRESSED_INPUT_BYTES {
            return PackedBytes::Plain { bytes };
        }
        let deflated = compress_to_vec(&bytes, COMPRESSION_LEVEL);
        if deflated.len() < bytes.len() {
            PackedBytes::Deflated { bytes: deflated }
        } else {
            PackedBytes::Plain { bytes }
        }
    }

    /// Returns the unpacked bytes; `None` if the packed form is damaged or the result would be too long.
    pub fn unpack(&self) -> Option<Vec<u8>> {
        match self {
            PackedBytes::Plain { bytes } => Some(bytes.clone()),
            PackedBytes::Deflated { bytes } => decompress_to_vec_with_limit(bytes, MAX_UNPACKED_BYTES).ok(),
        }
    }

    /// Returns the length of the packed form, in bytes.
    pub fn size(&self) -> usize {
        match self {
            PackedBytes::Plain { bytes } | PackedBytes::Deflated { bytes } => bytes.len(),
        }
    }
}
