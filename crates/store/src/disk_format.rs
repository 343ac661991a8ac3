//! How one value is kept on disk: its checksum, then its serialised form (§5.7).
use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_core::{Error, ErrorCode, hash64};

const CHECKSUM_BYTES: usize = 8;

pub(crate) fn encode<T: BorshSerialize>(value: &T) -> Vec<u8> {
    let body = borsh::to_vec(value).unwrap_or_default();
    let mut out = hash64(&[&body]).to_le_bytes().to_vec();
    out.extend_from_slice(&body);
    out
}

/// The value, or an error that names the damaged record.
pub(crate) fn decode<T: BorshDeserialize>(what: &str, bytes: &[u8]) -> Result<T, Error> {
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES).ok_or_else(|| damaged(what))?;
    if hash64(&[body]).to_le_bytes() != checksum {
        return Err(damaged(what));
    }
    borsh::from_slice(body).map_err(|_| damaged(what))
}

pub(crate) fn damaged(what: &str) -> Error {
    ErrorCode::DataDirectoryUnusable.with_detail(format_args!("the record {what} is damaged"))
}
