//! Logging: short sentences, a fixed prefix a part (§2.5). Never statement text, parameters or rows.
use flexi_logger::{DeferredNow, Logger, LoggerHandle, Record};

/// Keeps the log open and lets its level be changed.
pub type LogHandle = LoggerHandle;
use std::io::Write;

fn line(w: &mut dyn Write, now: &mut DeferredNow, r: &Record<'_>) -> std::io::Result<()> {
    let at = now.format("%Y-%m-%dT%H:%M:%S%.3f");
    write!(w, "{at} {:5} {:7} {}", r.level(), r.target(), r.args())
}

/// Starts the log on stderr; `spec` is like `info` or `debug,chain=trace`.
pub fn start(spec: &str) -> Result<LogHandle, String> {
    started(spec, Logger::log_to_stderr)
}

/// The same on stdout.
pub fn start_on_stdout(spec: &str) -> Result<LogHandle, String> {
    started(spec, Logger::log_to_stdout)
}

fn started(spec: &str, to: fn(Logger) -> Logger) -> Result<LogHandle, String> {
    Logger::try_with_str(spec)
        .and_then(|l| to(l.format(line)).start())
        .map_err(|e| format!("the log level {spec:?} is not valid: {e}"))
}
