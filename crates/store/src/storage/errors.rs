//! Errors of the data directory. A disk that fails may work again later, so the keeper tries again; a directory that is
//! damaged or belongs to another keeper needs an operator.
use quincehatch_core::{Error, ErrorCode};
use std::fmt::Display;
use std::io;

/// The disk failed; the same operation may succeed later.
pub(super) fn disk_error(cause: impl Display) -> Error {
    ErrorCode::DiskFailed.with_detail(cause)
}

/// The data directory is not one that this keeper can use, and will not become one by itself.
pub(super) fn unusable(reason: impl Display) -> Error {
    ErrorCode::DataDirectoryUnusable.with_detail(reason)
}

/// A record whose checksum or content is wrong.
pub(super) fn damaged(record: &str) -> Error {
    unusable(format_args!("the record {record} is damaged"))
}

/// The error of a read of `place`: a file that cannot be read now may be read later, one that is damaged may not.
pub(super) fn read_error(place: &dyn Display, cause: impl Into<redb::Error>) -> Error {
    let cause = cause.into();
    let detail = format!("{place}: {cause}");
    match cause {
        redb::Error::Io(io_error) if !is_damage(&io_error) => disk_error(detail),
        _ => unusable(detail),
    }
}

/// The error of a read of a table.
pub(super) fn table_read_error(cause: impl Into<redb::Error>) -> Error {
    read_error(&"a table", cause)
}

fn is_damage(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, InvalidInput, UnexpectedEof};
    matches!(error.kind(), UnexpectedEof | InvalidData | InvalidInput)
}
