//! A compact encoding of names for the messages that nodes send most often. It uses one length byte for a short name,
//! as nearly all names are short.
use borsh::io::{Error, ErrorKind, Read, Result, Write};
use borsh::{BorshDeserialize, BorshSerialize};
use quincehatch_core::Name;

/// The length byte of a longer name, which is followed by the name in borsh's own encoding.
const LONG_NAME: u8 = u8::MAX;

/// Writes a name.
pub fn serialize<W: Write>(name: &Name, writer: &mut W) -> Result<()> {
    match u8::try_from(name.len()) {
        Ok(length) if length < LONG_NAME => {
            writer.write_all(&[length])?;
            writer.write_all(name.as_bytes())
        }
        _ => {
            writer.write_all(&[LONG_NAME])?;
            name.serialize(writer)
        }
    }
}

/// Reads a name.
pub fn deserialize<R: Read>(reader: &mut R) -> Result<Name> {
    let length = u8::deserialize_reader(reader)?;
    if length == LONG_NAME {
        return Name::deserialize_reader(reader);
    }
    let mut bytes = vec![0; length.into()];
    reader.read_exact(&mut bytes)?;
    Name::from_utf8(bytes).map_err(|error| Error::new(ErrorKind::InvalidData, error))
}
