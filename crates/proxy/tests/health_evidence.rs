//! Tests how the ends of connections are classified.
use quincehatch_proxy::evidence::{ConnectionEnd, ConnectionUsage, classify_end};
use std::io::{Error, ErrorKind};

#[test]
fn a_close_is_graceful_only_when_no_reply_is_pending_and_the_server_drains() {
    let usage = |reply_pending, server_draining| ConnectionUsage { reply_pending, server_draining };
    let closed = Error::from(ErrorKind::ConnectionReset);
    assert_eq!(classify_end(&closed, usage(false, true)), ConnectionEnd::Graceful);
    assert_eq!(classify_end(&closed, usage(true, true)), ConnectionEnd::Reset);
    assert_eq!(classify_end(&closed, usage(false, false)), ConnectionEnd::Reset);
    let timed_out = Error::from(ErrorKind::TimedOut);
    assert_eq!(classify_end(&timed_out, usage(false, true)), ConnectionEnd::Unresponsive);
}
