//! Detection of dead peers on TCP connections to servers.
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Keep-alive probes that may go unanswered before the kernel resets the connection.
const KEEPALIVE_RETRIES: u32 = 3;

/// Settings of the kernel's two means to detect a dead peer: keep-alive probes while the connection is idle, and a time
/// limit for unacknowledged data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeepaliveSettings {
    /// Idle time before the first keep-alive probe.
    pub idle: Duration,
    /// Longest time for which sent data may stay unacknowledged (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
}

impl Default for KeepaliveSettings {
    fn default() -> Self {
        Self { idle: Duration::from_secs(30), user_timeout: Duration::from_secs(4) }
    }
}

/// Applies [`KeepaliveSettings`] to a socket, and reads them back.
pub trait KeepaliveExt {
    /// Applies the settings, and turns Nagle's algorithm off.
    fn apply_keepalive(&self, settings: KeepaliveSettings) -> io::Result<()>;
    /// Reads the settings from the socket; zero where an option is off.
    fn read_keepalive(&self) -> io::Result<KeepaliveSettings>;
}

impl KeepaliveExt for TcpStream {
    fn apply_keepalive(&self, settings: KeepaliveSettings) -> io::Result<()> {
        let socket = SockRef::from(self);
        socket.set_tcp_nodelay(true)?;
        let interval_secs = settings.idle.as_secs() / u64::from(KEEPALIVE_RETRIES);
        let interval = Duration::from_secs(interval_secs.max(1));
        let keepalive = TcpKeepalive::new()
            .with_time(settings.idle)
            .with_interval(interval)
            .with_retries(KEEPALIVE_RETRIES);
        socket.set_tcp_keepalive(&keepalive)?;
        socket.set_tcp_user_timeout(Some(settings.user_timeout))
    }

    fn read_keepalive(&self) -> io::Result<KeepaliveSettings> {
        let socket = SockRef::from(self);
        let idle = if socket.keepalive()? { socket.tcp_keepalive_time()? } else { Duration::ZERO };
        let user_timeout = socket.tcp_user_timeout()?.unwrap_or_default();
        Ok(KeepaliveSettings { idle, user_timeout })
    }
}
