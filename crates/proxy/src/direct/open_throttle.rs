//! Throttles the opening of connections to a server that has reached its connection limit or is congested.
use quincehatch_core::Millis;

/// The minimum pause after the first rejection; up to as much is added at random.
const MIN_PAUSE: Millis = 60;
/// The pause doubles with each further rejection, up to this many times.
const MAX_DOUBLINGS: u32 = 3;

/// For this long after a pause, connections are closed at check-in if no request waits for them, as other proxies may
/// need the server's connections.
const CLOSE_IDLE_PERIOD: Millis = 1_000;

/// How long a server counts as congested after it rejected a connection or statement because it is busy.
const CONGESTION_PERIOD: Millis = 200;
/// The minimum time between two connections that a proxy opens to a congested server.
const CONGESTED_OPEN_INTERVAL: Millis = 1_000;

/// Decides when connections to one server may be opened.
///
/// A server that has reached its connection limit is retried after a pause, which grows with each rejection. Until the
/// server accepts a connection, only one attempt is made per pause: hundreds of proxies with a queue each would
/// otherwise keep it busy with rejections. To a congested server a proxy opens no connection while it uses one there,
/// and else at most one per second: opening a connection takes the server longer than a statement, so more would keep
/// it congested. Where connections belong to tenants, requests of tenants without a connection wait or are rejected
/// meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OpenThrottle {
    /// The number of rejections since the server last accepted a connection.
    rejections: u32,
    backoff_until: Millis,
    close_idle_until: Millis,
    congested_until: Millis,
    opened_at: Option<Millis>,
}

impl OpenThrottle {
    /// Whether a proxy with `in_use` connections that are checked out or being opened may not open another one now.
    pub fn is_throttled(&self, now: Millis, in_use: usize) -> bool {
        let opened_lately = self.opened_at.is_some_and(|at| now < at + CONGESTED_OPEN_INTERVAL);
        self.is_backing_off(now) || (self.congested_until > now && (in_use > 0 || opened_lately))
    }

    /// Returns the time at which to check again whether a connection may be opened.
    pub fn next_open_at(&self) -> Millis {
        self.backoff_until.max(self.congested_until)
    }

    /// Returns the time until which the server counts as congested; 0 if it was never congested.
    pub fn congested_until(&self) -> Millis {
        self.congested_until
    }

    /// Records that the server rejected a connection or statement because it is busy.
    pub fn record_congestion(&mut self, now: Millis) {
        self.congested_until = now + CONGESTION_PERIOD;
    }

    fn is_backing_off(&self, now: Millis) -> bool {
        self.backoff_until > now
    }

    /// Whether connections for which no request waits are to be closed, as other proxies may need them.
    pub fn should_close_idle(&self, now: Millis) -> bool {
        self.close_idle_until > now
    }

    /// Records that the server rejected a connection because its connection limit is reached.
    pub fn record_rejected(&mut self, now: Millis) {
        self.rejections += 1;
        self.pause(now);
        self.close_idle_until = self.backoff_until + CLOSE_IDLE_PERIOD;
    }

    /// Records that an attempt begins. If the last attempt was rejected, no other may begin until the pause has passed
    /// or this one has succeeded.
    pub fn record_attempt(&mut self, now: Millis) {
        if self.rejections > 0 {
            self.pause(now);
        }
    }

    /// Records that the server accepted a connection, which ends the pause.
    pub fn record_opened(&mut self, now: Millis) {
        self.opened_at = Some(now);
        self.rejections = 0;
        self.backoff_until = 0;
    }

    fn pause(&mut self, now: Millis) {
        let doublings = self.rejections.saturating_sub(1).min(MAX_DOUBLINGS);
        let pause = MIN_PAUSE << doublings;
        self.backoff_until = now + pause + fastrand::u64(0..pause);
    }
}

#[cfg(test)]
mod tests;
