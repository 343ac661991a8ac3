//! The judges (§4.5): small, independent, each looking at one sign of a server's health. Sans-IO.
use quincehatch_core::{Millis, messages};

messages! {
    #[derive(Copy, Eq, Hash)]
    pub enum HealthSignal { Reset, Silent, Overdue, Stall, Late }

    /// What a judge says, and when.
    #[derive(Copy, Eq)]
    pub struct Evidence { pub signal: HealthSignal, pub weight: u64, pub at: Millis }
}

/// How a link came to its end, as the kernel or the server told it (§4.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// We closed it, or the server closed an idle link after it said that it leaves.
    Graceful,
    /// Reset, declined, or closed in mid-visit.
    Reset,
    /// Keep-alive or user timeout: the kernel's own finding.
    Unresponsive,
}

/// Tells the endings apart. A close with nothing owed by a server that said it leaves is in order.
pub fn classify_end(e: &std::io::Error, owing: bool, leaving: bool) -> ConnectionEnd {
    use std::io::ErrorKind as K;
    match e.kind() {
        K::TimedOut | K::HostUnreachable | K::NetworkUnreachable => ConnectionEnd::Unresponsive,
        _ if !owing && leaving => ConnectionEnd::Graceful,
        _ => ConnectionEnd::Reset,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_close_in_order_is_no_reset() {
        let closed = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        assert_eq!(classify_end(&closed, false, true), ConnectionEnd::Graceful);
        assert_eq!(classify_end(&closed, true, true), ConnectionEnd::Reset);
        assert_eq!(classify_end(&closed, false, false), ConnectionEnd::Reset);
        let silent = std::io::Error::from(std::io::ErrorKind::TimedOut);
        assert_eq!(classify_end(&silent, false, true), ConnectionEnd::Unresponsive);
    }
}
