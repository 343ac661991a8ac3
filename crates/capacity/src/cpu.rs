//! Processor time and memory, as the kernel accounts for them.
use rustix::time::{ClockId, clock_gettime};
use std::path::{Path, PathBuf};

const NANOSECONDS_PER_MS: f64 = 1e6;
const MS_PER_SECOND: f64 = 1e3;
/// `/proc/self/statm` counts pages of this size.
const PAGE_KIB: f64 = 4.0;

/// Returns the processor time that a thread has used so far, in milliseconds. `thread` is the thread's directory in
/// `/proc`.
pub fn thread_cpu_ms(thread: &Path) -> f64 {
    let account = std::fs::read_to_string(thread.join("schedstat")).unwrap_or_default();
    let nanoseconds = account.split(' ').next().and_then(|field| field.parse::<f64>().ok());
    nanoseconds.unwrap_or(0.0) / NANOSECONDS_PER_MS
}

/// Returns the directory of the current thread in `/proc`, where other threads can read its processor time.
pub fn current_thread() -> PathBuf {
    let link = std::fs::read_link("/proc/thread-self");
    link.map(|path| PathBuf::from("/proc").join(path)).unwrap_or_default()
}

/// A function's result, and the processor time that it used on its thread.
#[derive(Clone, Copy, Debug)]
pub struct Timed<T> {
    /// Processor time in milliseconds.
    pub cpu_ms: f64,
    /// The function's result.
    pub result: T,
}

/// Runs a function and measures its processor time.
pub fn timed<T>(function: impl FnOnce() -> T) -> Timed<T> {
    let before_ms = own_cpu_ms();
    let result = function();
    Timed { cpu_ms: own_cpu_ms() - before_ms, result }
}

fn own_cpu_ms() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * MS_PER_SECOND + time.tv_nsec as f64 / NANOSECONDS_PER_MS
}

/// Returns the resident memory of this process, in KiB.
pub fn resident_kib() -> f64 {
    let account = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = account.split(' ').nth(1).and_then(|field| field.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_KIB
}
