//! The signals that a program of the project handles, however it was started.
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Shut down gracefully: SIGTERM or SIGINT.
    Stop,
    /// Reload the settings file, which may have changed: SIGHUP.
    Reload,
}

/// The handled signals. Programs install the handlers first of all: until then, each signal ends the process.
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl ProcessSignals {
    /// Installs the handlers, which stay in place for as long as the process runs.
    ///
    /// # Errors
    /// If the operating system rejects a handler.
    pub fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.hangup.recv() => ProcessSignal::Reload,
        }
    }
}
