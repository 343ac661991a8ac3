//! When a server is asked for a connection: not while it takes no more, and not for a further one while it is congested.
use quincehatch_core::Millis;

/// The pause after the first rejection, at least; as much is added at random.
const MIN_PAUSE: Millis = 60;
/// The pause doubles with each further rejection, so many times.
const MAX_DOUBLINGS: u32 = 3;

/// For this long after a pause others may want the connections that nobody waits for here.
const CROWDED_FOR: Millis = 1_000;

/// A server that rejected a statement as it is busy counts as congested for so long.
const CONGESTED_FOR: Millis = 200;
/// The least time between two connections that a proxy opens to a congested server.
const CONGESTED_OPEN_INTERVAL: Millis = 1_000;

/// When connections to one server may be opened.
///
/// The pause at a full server grows while it takes none, and until it takes one a single attempt is made each time:
/// hundreds of proxies with a queue each would otherwise keep it busy with rejections. A congested server is asked for no
/// connection while the proxy uses one there, and else for one a second: to open one takes it longer than a statement, so
/// it would stay congested. Where connections belong to tenants, those who have none wait, or are rejected, meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OpenGate {
    /// Rejections since the server last took a connection.
    rejections: u32,
    until: Millis,
    crowded_until: Millis,
    congested_until: Millis,
    opened_at: Option<Millis>,
}

impl OpenGate {
    /// Whether a proxy that uses so many connections, or has as many to come, may not open one now.
    pub fn is_closed(&self, now: Millis, in_use: usize) -> bool {
        let opened_lately = self.opened_at.is_some_and(|at| now < at + CONGESTED_OPEN_INTERVAL);
        self.is_backing_off(now) || (self.congested_until > now && (in_use > 0 || opened_lately))
    }

    /// When to look again.
    pub fn opens_at(&self) -> Millis {
        self.until.max(self.congested_until)
    }

    /// Until when the server counts as congested; 0 if it never did.
    pub fn congested_until(&self) -> Millis {
        self.congested_until
    }

    /// The server rejected a statement, as it is busy.
    pub fn note_congested(&mut self, now: Millis) {
        self.congested_until = now + CONGESTED_FOR;
    }

    fn is_backing_off(&self, now: Millis) -> bool {
        self.until > now
    }

    /// Connections that nobody waits for are closed: others may want them.
    pub fn is_crowded(&self, now: Millis) -> bool {
        self.crowded_until > now
    }

    pub fn note_rejected(&mut self, now: Millis) {
        self.rejections += 1;
        self.pause(now);
        self.crowded_until = self.until + CROWDED_FOR;
    }

    /// An attempt begins; while the server may still be full, others wait for its result.
    pub fn note_attempt(&mut self, now: Millis) {
        if self.rejections > 0 {
            self.pause(now);
        }
    }

    pub fn note_taken(&mut self, now: Millis) {
        self.opened_at = Some(now);
        self.rejections = 0;
        self.until = 0;
    }

    fn pause(&mut self, now: Millis) {
        let doublings = self.rejections.saturating_sub(1).min(MAX_DOUBLINGS);
        let pause = MIN_PAUSE << doublings;
        self.until = now + pause + fastrand::u64(0..pause);
    }
}

#[cfg(test)]
mod tests;
