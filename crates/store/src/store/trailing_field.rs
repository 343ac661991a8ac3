//! Reads the last fields of stored data, which earlier versions did not write.
use borsh::BorshDeserialize;
use borsh::io::{Read, Result};

/// Reads a field, or returns its default if the data ends before it.
pub(super) fn read_or_default<R: Read, T: BorshDeserialize + Default>(reader: &mut R) -> Result<T> {
    let mut first_byte = [0; 1];
    if reader.read(&mut first_byte)? == 0 {
        return Ok(T::default());
    }
    T::deserialize_reader(&mut first_byte.as_slice().chain(reader))
}
