//! What a session was acknowledged, verbatim, under a rising version.
use quincehatch_core::{Name, Version, messages};

/// Settings, and prepared statements, that one session may have.
pub const MAX_TEXTS: usize = 64;
/// The low bits of a version are random, so that two nodes never give the same one.
const RANDOM_BITS: u32 = 16;
/// What a version's counter rises by when the session came from another node: more than a node can lose in doubt between
/// two moves.
const ADOPTED_STEP: u64 = 64;
/// What it rises by otherwise.
const STEP: u64 = 1;
/// Earlier versions that a state remembers.
const MAX_ANCESTORS: usize = 32;

messages! {
    /// All that a session was acknowledged. A majority of its replicas has it before the client is told.
    #[derive(Eq, Default)]
    pub struct SessionState {
        /// The session.
        pub id: Name,
        /// Number of this state; it only rises.
        pub version: Version,
        /// Settings, in the order in which they were made.
        pub settings: Vec<String>,
        /// Prepared statements: name and text.
        pub prepared: Vec<(Name, String)>,
        /// The client closed the session.
        pub closed: bool,
        /// The versions this one was made from, newest last: it contains all that was acknowledged under them.
        pub ancestors: Vec<Version>
    }
}

/// What is set up on a connection. Connections are told apart by the texts themselves, not by a digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionSetup {
    /// Settings, in the order in which they were made.
    pub settings: Vec<String>,
    /// Prepared statements: name and text.
    pub prepared: Vec<(Name, String)>,
}

impl SessionState {
    /// What a connection needs for this session.
    pub fn setup(&self) -> SessionSetup {
        SessionSetup { settings: self.settings.clone(), prepared: self.prepared.clone() }
    }

    /// Whether this state contains all that was acknowledged up to `version`. One from an update that was never
    /// acknowledged may have a higher number and yet lack it.
    pub fn includes(&self, version: Version) -> bool {
        version == self.version || self.ancestors.contains(&version)
    }

    /// The state to change next: its version is above `highest_attempted`, whatever became of that attempt.
    pub fn next_version(&self, highest_attempted: Version, adopted: bool) -> SessionState {
        let step = if adopted { ADOPTED_STEP } else { STEP };
        let counter = (self.version.max(highest_attempted) >> RANDOM_BITS) + step;
        let mut next = self.clone();
        next.version = counter << RANDOM_BITS | u64::from(fastrand::u16(..));
        next.ancestors.push(self.version);
        if next.ancestors.len() > MAX_ANCESTORS {
            next.ancestors.remove(0);
        }
        next
    }
}
