//! The acknowledged settings and prepared statements of a session, verbatim, under a rising version.
use quincehatch_core::{Name, Version, messages};

/// The maximum number of settings, and of prepared statements, in one session.
pub const MAX_TEXTS: usize = 64;
/// The number of low bits of a version that are random, so that two nodes do not produce the same version.
const RANDOM_BITS: u32 = 16;
/// The step of a version's counter when the session came from another node. It exceeds the number of unacknowledged
/// updates that a node can leave between two moves of a session.
const ADOPTED_STEP: u64 = 64;
/// The step of a version's counter otherwise.
const STEP: u64 = 1;
/// The number of earlier versions that a state retains.
const MAX_ANCESTORS: usize = 32;

messages! {
    /// All acknowledged updates of a session. A majority of its replicas stores an update before it is acknowledged to
    /// the client.
    #[derive(Eq, Default)]
    pub struct SessionState {
        /// The id of the session.
        pub id: Name,
        /// The version of this state, which only rises.
        pub version: Version,
        /// The settings, in the order in which they were made.
        pub settings: Vec<String>,
        /// The prepared statements: name and text.
        pub prepared: Vec<(Name, String)>,
        /// Whether the client closed the session.
        pub closed: bool,
        /// The versions that this one derives from, newest last. The state includes all updates acknowledged under
        /// them.
        pub ancestors: Vec<Version>
    }
}

/// The settings and prepared statements that are applied on a connection. Two setups are compared by their texts, not
/// by a digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SessionSetup {
    /// The settings, in the order in which they were made.
    pub settings: Vec<String>,
    /// The prepared statements: name and text.
    pub prepared: Vec<(Name, String)>,
}

impl SessionState {
    /// Returns the setup that a connection needs for this session.
    pub fn setup(&self) -> SessionSetup {
        SessionSetup { settings: self.settings.clone(), prepared: self.prepared.clone() }
    }

    /// Whether this state includes all updates acknowledged up to `version`. A state from an update that was never
    /// acknowledged may have a higher version and yet lack some of them.
    pub fn includes(&self, version: Version) -> bool {
        version == self.version || self.ancestors.contains(&version)
    }

    /// Returns a copy for the next update, whose version is above `highest_attempted` whether or not that attempt was
    /// stored.
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
