//! The names under which calls between nodes are counted in metrics.
use crate::messages::GossipMessage;
use crate::queries::NodeQuery;

impl GossipMessage {
    /// Returns the name of the variant.
    pub fn kind(&self) -> &'static str {
        match self {
            GossipMessage::Ping { .. } => "ping",
            GossipMessage::Pong { .. } => "pong",
            GossipMessage::PingFor { .. } => "ping_for",
            GossipMessage::Shuffle { .. } => "shuffle",
            GossipMessage::Shuffled { .. } => "shuffled",
            GossipMessage::Heartbeats { .. } => "heartbeats",
            GossipMessage::CompareMembers { .. } => "compare_members",
            GossipMessage::ComparedMembers { .. } => "compared_members",
        }
    }
}

impl NodeQuery {
    /// Returns the name of the variant.
    pub fn kind(&self) -> &'static str {
        match self {
            NodeQuery::StoreSession { .. } => "store_session",
            NodeQuery::FindSession { .. } => "find_session",
            NodeQuery::SessionDigests { .. } => "session_digests",
            NodeQuery::SessionRange { .. } => "session_range",
            NodeQuery::ServerEvidence { .. } => "server_evidence",
            NodeQuery::SuspectPrimary { .. } => "suspect_primary",
            NodeQuery::InFlight { .. } => "in_flight",
            NodeQuery::Report { .. } => "report",
            NodeQuery::AcknowledgedEnd { .. } => "acknowledged_end",
            NodeQuery::AcknowledgedRange { .. } => "acknowledged_range",
            NodeQuery::JoinHandover { .. } => "join_handover",
        }
    }
}
