//! Evidence against a server's health. These are pure types and functions without I/O.
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
        /// Replies are late and no request is answered, as when the server's storage stalls.
        Stall,
        /// More replies were late than on time.
        Late
    }

    /// One piece of evidence.
    #[derive(Copy, Eq)]
    pub struct Evidence {
        /// The signal that was observed.
        pub signal: HealthSignal,
        /// The weight of the evidence towards ejection.
        pub weight: u64,
        /// When the signal was observed.
        pub at: Millis
    }
}

/// How a connection ended, as reported by the kernel or the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// This node closed the connection, or the server closed it while it was idle after reporting that it drains.
    Graceful,
    /// The connection was reset, refused, or closed during a request.
    Reset,
    /// The kernel reported a keep-alive or user timeout, or that the host or network is unreachable.
    Unresponsive,
}

/// The state of a connection when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// Whether a reply was pending.
    pub reply_pending: bool,
    /// Whether the server had reported that it drains.
    pub server_draining: bool,
}

/// Classifies the end of a connection. If the server drains and no reply was pending, a close is graceful.
pub fn classify_end(error: &std::io::Error, usage: ConnectionUsage) -> ConnectionEnd {
    use std::io::ErrorKind::{HostUnreachable, NetworkUnreachable, TimedOut};
    match error.kind() {
        TimedOut | HostUnreachable | NetworkUnreachable => ConnectionEnd::Unresponsive,
        _ if !usage.reply_pending && usage.server_draining => ConnectionEnd::Graceful,
        _ => ConnectionEnd::Reset,
    }
}
