//! Limits how long a read is retried. In each round every server is tried once.
use quincehatch_core::Millis;

/// The maximum number of rounds.
const MAX_ROUNDS: usize = 60;
/// The maximum number of rounds while no server is available, as when the primary is being replaced.
const MAX_EMPTY_ROUNDS: usize = 20;
/// With less time left, no further round begins.
const MIN_ROUND_TIME: Millis = 60;

/// The result of a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundOutcome {
    /// No server was available.
    NoServerAvailable,
    /// A server that failed may answer shortly.
    Retryable,
    /// No server is expected to answer soon.
    NotRetryable,
}

/// The rounds of one read.
#[derive(Debug, Default)]
pub struct Rounds {
    ended: usize,
}

impl Rounds {
    /// Whether no round has ended yet.
    pub fn is_first(&self) -> bool {
        self.ended == 0
    }

    /// Ends a round. Returns whether another round is to begin.
    pub fn end(&mut self, outcome: RoundOutcome, time_left: Millis) -> bool {
        self.ended += 1;
        let limit = match outcome {
            RoundOutcome::NoServerAvailable => MAX_EMPTY_ROUNDS,
            RoundOutcome::Retryable => MAX_ROUNDS,
            RoundOutcome::NotRetryable => return false,
        };
        self.ended < limit && time_left >= MIN_ROUND_TIME
    }
}
