//! Conversion of the HTTP client's errors to `io::Error`.
use std::error::Error;
use std::fmt::Display;
use std::io;

/// Converts an error to an `io::Error` that only has its text.
pub(super) fn other(error: impl Display) -> io::Error {
    io::Error::other(error.to_string())
}

/// Converts a hyper error to the kernel's error that caused it, so that health checks can tell a reset from a time-out.
/// The early end of a connection without such a cause counts as a reset.
pub(super) fn io_error(error: hyper::Error) -> io::Error {
    if let Some(cause) = find_io_cause(&error) {
        return match cause.raw_os_error() {
            Some(number) => io::Error::from_raw_os_error(number),
            None => io::Error::new(cause.kind(), cause.to_string()),
        };
    }
    if error.is_incomplete_message() || error.is_closed() || error.is_canceled() {
        return io::Error::new(io::ErrorKind::ConnectionReset, error.to_string());
    }
    other(error)
}

fn find_io_cause(error: &hyper::Error) -> Option<&io::Error> {
    let mut current: Option<&(dyn Error + 'static)> = Some(error);
    while let Some(cause) = current {
        if let Some(io) = cause.downcast_ref::<io::Error>() {
            return Some(io);
        }
        current = cause.source();
    }
    None
}
