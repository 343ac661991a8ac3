//! Byte strings that are kept and sent compressed when that is worth it (§5.7).
use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;
use quincehatch_core::messages;

/// Longest byte string that is unpacked: a message that claims more is not believed.
const UNPACKED_MAX: usize = 32 << 20;
/// Shorter ones stay as they are; compressing them costs more than it saves.
const COMPRESS_FROM: usize = 1 << 10;
/// Level of the deflate coder: little processor time, and JSON still shrinks several times.
const COMPRESSION_LEVEL: u8 = 3;

messages! {
    /// Bytes as they stand, or compressed with deflate.
    #[derive(Eq)]
    pub enum PackedBytes { Plain { bytes: Vec<u8> }, Deflated { bytes: Vec<u8> } }
}

impl PackedBytes {
    pub fn pack(bytes: Vec<u8>) -> Self {
        if bytes.len() < COMPRESS_FROM {
            return PackedBytes::Plain { bytes };
        }
        let deflated = compress_to_vec(&bytes, COMPRESSION_LEVEL);
        match deflated.len() < bytes.len() {
            true => PackedBytes::Deflated { bytes: deflated },
            false => PackedBytes::Plain { bytes },
        }
    }

    /// The bytes that were packed; `None` if they are damaged or longer than is believed.
    pub fn unpack(&self) -> Option<Vec<u8>> {
        match self {
            PackedBytes::Plain { bytes } => Some(bytes.clone()),
            PackedBytes::Deflated { bytes } => decompress_to_vec_with_limit(bytes, UNPACKED_MAX).ok(),
        }
    }

    /// Length as kept and sent.
    pub fn size(&self) -> usize {
        match self {
            PackedBytes::Plain { bytes } | PackedBytes::Deflated { bytes } => bytes.len(),
        }
    }
}
