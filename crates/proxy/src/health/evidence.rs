//! Evidence against a server's health. Pure functions and types, without I/O.
use quincehatch_core::{Millis, messages};

messages! {
    /// One kind of evidence.
    #[derive(Copy, Eq, Hash)]
    pub enum HealthSignal {
        /// A connection was reset, refused, or closed during a request.
        Reset,
        /// The kernel found that the server does not respond.
        #[serde(rename = "Silent")]
        Unresponsive,
        /// A reply is past its query timeout.
        Overdue,
        /// Replies are late and nobody is answered: storage stalls.
        Stall,
        /// More replies were late than in time.
        Late
    }

    /// One piece of evidence.
    #[derive(Copy, Eq)]
    pub struct Evidence {
        /// What was found.
        pub signal: HealthSignal,
        /// How much it counts towards ejection.
        pub weight: u64,
        /// When it was found.
        pub at: Millis
    }
}

/// How a connection came to its end, as the kernel or the server told it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// This side closed it, or the server closed it while idle after it said that it drains.
    Graceful,
    /// Reset, refused, or closed during a request.
    Reset,
    /// Keep-alive or user timeout: the kernel's own finding.
    Unresponsive,
}

/// What was going on when a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// A reply was pending.
    pub reply_pending: bool,
    /// The server had said that it drains.
    pub server_draining: bool,
}

/// Tells the ends apart. A close with no reply pending by a server that drains is graceful.
pub fn classify_end(error: &std::io::Error, usage: ConnectionUsage) -> ConnectionEnd {
    use std::io::ErrorKind::{HostUnreachable, NetworkUnreachable, TimedOut};
    match error.kind() {
        TimedOut | HostUnreachable | NetworkUnreachable => ConnectionEnd::Unresponsive,
        _ if !usage.reply_pending && usage.server_draining => ConnectionEnd::Graceful,
        _ => ConnectionEnd::Reset,
    }
}
