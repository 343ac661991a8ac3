//! The backoff between the attempts of one statement.
use quincehatch_core::Millis;
use quincehatch_runtime::seam;
use std::time::Duration;

/// The minimum pause, so that a server that rejected an attempt as busy is not retried at once.
const MIN_PAUSE: Millis = 3;
/// The random part of the pause doubles with each attempt up to this many times.
const MAX_DOUBLINGS: u32 = 4;

/// Pauses with a fixed minimum and a random part that grows with each attempt.
#[derive(Default)]
pub(super) struct Backoff {
    attempts: u32,
}

impl Backoff {
    /// Whether [`Backoff::pause`] was not called yet.
    pub fn is_first_attempt(&self) -> bool {
        self.attempts == 0
    }

    /// Waits before the next attempt.
    pub async fn pause(&mut self) {
        let random_part = MIN_PAUSE << self.attempts.min(MAX_DOUBLINGS);
        self.attempts += 1;
        let pause = MIN_PAUSE + fastrand::u64(0..random_part);
        seam::sleep(Duration::from_millis(pause)).await;
    }
}
