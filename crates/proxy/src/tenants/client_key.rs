//! The key that a client has given, of which only the digest is held.
use quincehatch_config::key_digest::KeyDigest;

/// What a session holds of its client's key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientKey(Option<KeyDigest>);

impl ClientKey {
    /// A client that gave no key.
    pub const NONE: ClientKey = ClientKey(None);

    /// The key as the client sent it. One that no tenant can have, as it is empty or too long, counts as none.
    pub fn new(key: &[u8]) -> ClientKey {
        ClientKey(KeyDigest::of(key))
    }

    /// The digest of the key.
    pub fn digest(self) -> Option<KeyDigest> {
        self.0
    }
}
