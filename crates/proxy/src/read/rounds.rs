//! How long a read goes on: the rounds in which all servers are asked anew.
use quincehatch_core::Millis;

/// How often all servers are asked anew.
const MAX_ROUNDS: usize = 60;
/// How often a read looks for a server while there is none to ask, as when the primary is being replaced.
const MAX_EMPTY_ROUNDS: usize = 20;
/// With less time left no round is begun.
const MIN_ROUND_TIME: Millis = 60;

/// What the round that ended came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoundOutcome {
    /// There was no server to ask.
    NobodyAsked,
    /// A server that was asked may do better in a moment.
    MayDoBetter,
    /// No server will do better soon.
    Hopeless,
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

    /// Ends a round. Returns whether another one is worth its time.
    pub fn end(&mut self, outcome: RoundOutcome, time_left: Millis) -> bool {
        self.ended += 1;
        let limit = match outcome {
            RoundOutcome::NobodyAsked => MAX_EMPTY_ROUNDS,
            RoundOutcome::MayDoBetter => MAX_ROUNDS,
            RoundOutcome::Hopeless => return false,
        };
        self.ended < limit && time_left >= MIN_ROUND_TIME
    }
}
