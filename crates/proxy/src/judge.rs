//! The judges (§4.5): small, independent, each looking at one sign of a server's health. Sans-IO.
use quincehatch_core::{Millis, messages};

messages! {
    #[derive(Copy, Eq, Hash)]
    pub enum Sign { Reset, Silent, Overdue, Stall, Late }

    /// What a judge says, and when.
    #[derive(Copy, Eq)]
    pub struct Evidence { pub sign: Sign, pub weight: u64, pub at: Millis }
}

/// How a link came to its end, as the kernel or the server told it (§4.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// We closed it, or the server closed an idle link after it said that it leaves.
    InOrder,
    /// Reset, declined, or closed in mid-visit.
    Reset,
    /// Keep-alive or user timeout: the kernel's own finding.
    Silent,
}

/// Tells the endings apart. A close with nothing owed by a server that said it leaves is in order.
pub fn ending(e: &std::io::Error, owing: bool, leaving: bool) -> Ending {
    use std::io::ErrorKind as K;
    match e.kind() {
        K::TimedOut | K::HostUnreachable | K::NetworkUnreachable => Ending::Silent,
        _ if !owing && leaving => Ending::InOrder,
        _ => Ending::Reset,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_close_in_order_is_no_reset() {
        let closed = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
        assert_eq!(ending(&closed, false, true), Ending::InOrder);
        assert_eq!(ending(&closed, true, true), Ending::Reset);
        assert_eq!(ending(&closed, false, false), Ending::Reset);
        let silent = std::io::Error::from(std::io::ErrorKind::TimedOut);
        assert_eq!(ending(&silent, false, true), Ending::Silent);
    }
}
