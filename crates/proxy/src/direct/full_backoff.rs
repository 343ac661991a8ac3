//! How long a server that takes no more connections is left alone.
use quincehatch_core::Millis;

/// The pause after the first rejection, at least; as much is added at random.
const MIN_PAUSE: Millis = 60;
/// The pause doubles with each further rejection, so many times.
const MAX_DOUBLINGS: u32 = 3;

/// For this long after a pause others may want the connections that nobody waits for here.
const CROWDED_FOR: Millis = 1_000;

/// The pause before a server is asked for a connection again. It grows while the server takes none, and until it takes
/// one a single attempt is made each time: hundreds of proxies with a queue each would otherwise keep a full server busy
/// with rejections.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FullBackoff {
    /// Rejections since the server last took a connection.
    rejections: u32,
    until: Millis,
    crowded_until: Millis,
}

impl FullBackoff {
    /// No connection is opened before.
    pub fn until(&self) -> Millis {
        self.until
    }

    pub fn is_backing_off(&self, now: Millis) -> bool {
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

    pub fn note_taken(&mut self) {
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
