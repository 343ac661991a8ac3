//! Errors of the data directory. A disk error may be temporary, so the keeper retries the operation; a directory that
//! is damaged or belongs to another keeper requires an operator.
use quincehatch_core::{Error, ErrorCode};
use std::fmt::Display;
use std::io;

/// Returns the error of a failed disk operation, which may succeed later.
pub(super) fn disk_error(cause: impl Display) -> Error {
    ErrorCode::DiskFailed.with_detail(cause)
}

/// Returns the error of a data directory that this keeper cannot use, which a retry does not change.
pub(super) fn unusable(reason: impl Display) -> Error {
    ErrorCode::DataDirectoryUnusable.with_detail(reason)
}

/// Returns the error of a record with a wrong checksum or content.
pub(super) fn damaged(record: &str) -> Error {
    unusable(format_args!("the record {record} is damaged"))
}

/// Returns the error of a failed read of `place`. A retry may succeed unless the file is damaged.
pub(super) fn read_error(place: &dyn Display, cause: impl Into<redb::Error>) -> Error {
    let cause = cause.into();
    let detail = format!("{place}: {cause}");
    match cause {
        redb::Error::Io(io_error) if !is_damage(&io_error) => disk_error(detail),
        _ => unusable(detail),
    }
}

/// Returns the error of a failed read of a table.
pub(super) fn table_read_error(cause: impl Into<redb::Error>) -> Error {
    read_error(&"a table", cause)
}

fn is_damage(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, InvalidInput, UnexpectedEof};
    matches!(error.kind(), UnexpectedEof | InvalidData | InvalidInput)
}
