//! Digests of tenants' keys. Configurations, nodes and keepers store digests; the keys themselves are stored nowhere.
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;

/// Longest key in bytes. A longer one belongs to no tenant and is not hashed.
pub const MAX_KEY_BYTES: usize = 256;
/// Bytes of a digest.
const DIGEST_BYTES: usize = 16;
/// Prefix that is hashed before the key, so that a digest is of no use where the same key has another purpose.
const DOMAIN_SEPARATOR: &[u8] = b"quincehatch tenant key 1\0";

/// The first 16 bytes of the SHA-256 of a key.
///
/// Keys are random tokens, so a fast hash is enough: nobody can try 2^128 of them. The duration of a lookup by
/// digest reveals nothing about the keys, because the input that an attacker chooses is hashed first.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

/// The error for a text that is not a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidDigest;

impl KeyDigest {
    /// Returns the digest of a key; `None` if it is empty or longer than [`MAX_KEY_BYTES`], as no tenant has such a
    /// key.
    pub fn of(key: &[u8]) -> Option<KeyDigest> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return None;
        }
        let mut hasher = Sha256::new();
        hasher.update(DOMAIN_SEPARATOR);
        hasher.update(key);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        Some(KeyDigest(digest))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Hides the digest, so that neither logs nor panics show it.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

impl FromStr for KeyDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<KeyDigest, InvalidDigest> {
        let is_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
        if !is_hex || text.len() != DIGEST_BYTES * 2 {
            return Err(InvalidDigest);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidDigest)?;
        }
        Ok(KeyDigest(digest))
    }
}
