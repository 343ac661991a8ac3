//! Byte strings that are compressed when that is worth it.
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use quincehatch_core::messages;

/// Longest byte string that is unpacked (32 MiB). One that claims more is damaged or hostile.
const MAX_UNPACKED_BYTES: usize = 32 << 20;
/// Shorter ones (below 1 KiB) stay as they are; compressing them costs more than it saves.
const MIN_COMPRESSED_INPUT_BYTES: usize = 1 << 10;
/// Level of deflate: little processor time, and JSON still shrinks several times.
const COMPRESSION_LEVEL: u8 = 3;

messages! {
    /// A byte string, compressed if that makes it shorter.
    #[derive(Eq)]
    pub enum PackedBytes {
        /// The bytes as they are.
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
    /// Packs a byte string.
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

    /// The bytes that were packed; `None` if they are damaged or too long.
    pub fn unpack(&self) -> Option<Vec<u8>> {
        match self {
            PackedBytes::Plain { bytes } => Some(bytes.clone()),
            PackedBytes::Deflated { bytes } => decompress_to_vec_with_limit(bytes, MAX_UNPACKED_BYTES).ok(),
        }
    }

    /// Length of the packed form, in bytes.
    pub fn size(&self) -> usize {
        match self {
            PackedBytes::Plain { bytes } | PackedBytes::Deflated { bytes } => bytes.len(),
        }
    }
}
