//! The signals that a program of the project handles, however it was started.
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// What a signal asks of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Stop in order: SIGTERM or SIGINT.
    Stop,
    /// The settings file may have changed: SIGHUP.
    Reload,
}

/// The handled signals. They are to be installed before anything else is done: until then each ends the process.
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl ProcessSignals {
    /// Handles the signals from now on, for as long as the process runs.
    ///
    /// # Errors
    /// If the system takes no handlers.
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
