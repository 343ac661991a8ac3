//! Encoding of a value on disk: a checksum, followed by the serialised value.
use crate::storage::errors::damaged;
use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_core::{Error, hash64};

const CHECKSUM_BYTES: usize = 8;

/// Returns the checksum followed by the serialised value.
pub(super) fn encode<T: BorshSerialize>(value: &T) -> Vec<u8> {
    let body = borsh::to_vec(value).unwrap_or_default();
    let mut encoded = hash64(&[&body]).to_le_bytes().to_vec();
    encoded.extend_from_slice(&body);
    encoded
}

/// Returns the value, or an error that names the damaged record.
pub(super) fn decode<T: BorshDeserialize>(record: &str, bytes: &[u8]) -> Result<T, Error> {
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or_else(|| damaged(record))?;
    if hash64(&[body]).to_le_bytes() != checksum {
        return Err(damaged(record));
    }
    borsh::from_slice(body).map_err(|_| damaged(record))
}
