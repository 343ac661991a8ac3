//! A node of the modelled handover, which decides with the product's own code.
use quincehatch_core::Position;
use quincehatch_proxy::routing::acknowledged::AcknowledgedPositions;
use quincehatch_proxy::routing::commit_evidence::{Acknowledgement, Commit, Knowledge, SuccessorReport};

/// The fences of the open assignment and of the handover.
const ASSIGNED: u64 = 4;
const HANDOVER: u64 = 5;

/// The protocol, complete or without one of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Complete,
    /// The platform is called without asking the nodes to join.
    NodesDoNotJoin,
    /// A node that was not asked acknowledges under a pending promotion.
    LateNodesAcknowledge,
    /// The old primary's end is read before the nodes have joined.
    CatchUpBeforeJoin,
    /// After the close the listed replicas alone prove a candidate.
    CloseTrustsListedReplicas,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Node {
    pub has_lease: bool,
    pub has_joined: bool,
    pub knows_token: bool,
    pub knows_close: bool,
    pub reported: u8,
    pub successor_leads: bool,
}

pub fn at(number: u8) -> Position {
    Position { fence: 1, number: number.into() }
}

impl Node {
    /// Whether a node tells its client of the commit, by the product's own decision.
    pub fn may_acknowledge(&self, commit: u8, protocol: Protocol) -> bool {
        let positions = AcknowledgedPositions::default();
        if self.has_joined {
            positions.join_handover("g", HANDOVER, &"successor".into());
            positions.record_successor("g", HANDOVER, SuccessorReport::Received(at(self.reported)));
            if self.successor_leads {
                positions.record_successor("g", HANDOVER, SuccessorReport::Leads);
            }
        }
        let knows_token = self.knows_token && protocol != Protocol::LateNodesAcknowledge;
        let newest_fence = if knows_token && protocol != Protocol::NodesDoNotJoin { HANDOVER } else { 0 };
        let knowledge = (!self.knows_close).then_some(Knowledge { newest_fence, is_current: true });
        let commit = Commit { fence: ASSIGNED, end: at(commit), after: Position::default() };
        positions.acknowledge("g", &commit, || knowledge) == Acknowledgement::Granted
    }
}
