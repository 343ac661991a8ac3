//! An attempt to change the view, and its messages in flight.
use quincehatch_core::Name;
use quincehatch_store::register::Proposer;
use quincehatch_store::{PeerMessage, View};
use std::collections::{BTreeMap, BTreeSet};

/// One proposer's attempt. It requests promises from a minimal majority only, because further promises would only block
/// other attempts.
#[derive(Clone)]
pub struct Attempt {
    pub proposer: Proposer,
    pub base: View,
    pub proposed: View,
    pub prepares: BTreeMap<Name, PeerMessage>,
    pub promises: BTreeMap<Name, PeerMessage>,
    pub accepts: BTreeMap<Name, PeerMessage>,
    pub accepted_by: BTreeSet<Name>,
}

impl Attempt {
    /// Returns an attempt without any messages in flight.
    pub fn finished() -> Attempt {
        Attempt {
            proposer: Proposer::default(),
            base: View::default(),
            proposed: View::default(),
            prepares: BTreeMap::new(),
            promises: BTreeMap::new(),
            accepts: BTreeMap::new(),
            accepted_by: BTreeSet::new(),
        }
    }
}
