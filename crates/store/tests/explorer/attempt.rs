//! An attempt to change the view, and which of its messages are under way.
use quincehatch_core::Name;
use quincehatch_store::register::Proposer;
use quincehatch_store::{PeerMessage, View};
use std::collections::{BTreeMap, BTreeSet};

/// One proposer's attempt. Promises are asked of one smallest majority: more of them would only stop other attempts.
#[derive(Clone)]
pub struct Attempt {
    pub proposer: Proposer,
    pub base: View,
    pub wanted: View,
    pub prepares: BTreeMap<Name, PeerMessage>,
    pub promises: BTreeMap<Name, PeerMessage>,
    pub accepts: BTreeMap<Name, PeerMessage>,
    pub accepted_by: BTreeSet<Name>,
}

impl Attempt {
    /// One of which no message is under way any more.
    pub fn over() -> Attempt {
        Attempt {
            proposer: Proposer::default(),
            base: View::default(),
            wanted: View::default(),
            prepares: BTreeMap::new(),
            promises: BTreeMap::new(),
            accepts: BTreeMap::new(),
            accepted_by: BTreeSet::new(),
        }
    }
}
