//! Logging. Lines never contain statement texts, parameters or rows, because those are user data.
use flexi_logger::{DeferredNow, Logger, LoggerHandle, Record};
use std::io::{self, Write};

/// Handle of the logger. The log stays open until the handle is dropped; the handle can change the log level.
pub type LogHandle = LoggerHandle;

/// Format of the local time, with milliseconds.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3f";

/// Writes one line: time, level, target (the component) and message.
fn format_record(writer: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let timestamp = now.format(TIME_FORMAT);
    write!(writer, "{timestamp} {:5} {:7} {}", record.level(), record.target(), record.args())
}

/// Starts logging to stderr. `spec` is a level like `info`, or levels by target like `debug,chain=trace`.
///
/// # Errors
/// A human-readable message if `spec` is not valid.
pub fn start(spec: &str) -> Result<LogHandle, String> {
    start_with_output(spec, Logger::log_to_stderr)
}

/// Starts logging to stdout, otherwise as [`start`] does.
///
/// # Errors
/// A human-readable message if `spec` is not valid.
pub fn start_on_stdout(spec: &str) -> Result<LogHandle, String> {
    start_with_output(spec, Logger::log_to_stdout)
}

fn start_with_output(spec: &str, choose_output: fn(Logger) -> Logger) -> Result<LogHandle, String> {
    Logger::try_with_str(spec)
        .and_then(|logger| choose_output(logger.format(format_record)).start())
        .map_err(|error| format!("the log level {spec:?} is not valid: {error}"))
}
