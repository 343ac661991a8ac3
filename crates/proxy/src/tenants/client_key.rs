//! The key that a client sent, of which only the digest is stored.
use quincehatch_config::key_digest::KeyDigest;

/// The digest of a client's key, if it sent one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientKey(Option<KeyDigest>);

impl ClientKey {
    /// The value for a client that sent no key.
    pub const NONE: ClientKey = ClientKey(None);

    /// Computes the digest of the key that the client sent. An empty or too long key, which no tenant can have, counts
    /// as none.
    pub fn new(key: &[u8]) -> ClientKey {
        ClientKey(KeyDigest::of(key))
    }

    /// Returns the digest of the key.
    pub fn digest(self) -> Option<KeyDigest> {
        self.0
    }
}
