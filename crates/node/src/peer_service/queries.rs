//! Replies to queries of other nodes.
use crate::node::Node;
use crate::operator;
use crate::promotion::evidence::observe_server;
use quincehatch_core::Name;
use quincehatch_gossip::session_replicas::OwnerPair;
use quincehatch_gossip::{NodeQuery, NodeReply, SessionVersion};
use quincehatch_proxy::routing::commit_evidence::AcknowledgedRange;
use quincehatch_proxy::session::SessionState;
use quincehatch_runtime::now;
use std::sync::Arc;

/// Answers a query from this node's current state.
pub(super) fn answer_query(node: &Arc<Node>, query: NodeQuery) -> NodeReply {
    match query {
        NodeQuery::StoreSession { session } => store_session(node, session),
        NodeQuery::FindSession { id } => {
            NodeReply::FoundSession { session: node.gossip.replicas.lock().unwrap().get(&id) }
        }
        NodeQuery::SessionDigests { from, digests } => differing_ranges(node, &from, &digests),
        NodeQuery::SessionRange { from, range, have } => session_repair(node, &from, range, &have),
        NodeQuery::ServerEvidence { server } => server_evidence(node, &server),
        NodeQuery::SuspectPrimary { group, server } => {
            node.promotion_state.record_suspicion(group, server);
            NodeReply::Done
        }
        NodeQuery::InFlight { group } => {
            NodeReply::InFlight { count: node.proxy.registry.in_flight.open_count(&group) as u64 }
        }
        NodeQuery::AcknowledgedEnd { group, fence } => NodeReply::AcknowledgedEnd {
            end: node.proxy.registry.seal_acknowledged(&group, fence).end,
            incarnation: node.promotion_state.incarnation.0,
        },
        NodeQuery::AcknowledgedRange { group, fence } => {
            let AcknowledgedRange { end, at_least } = node.proxy.registry.seal_acknowledged(&group, fence);
            let incarnation = node.promotion_state.incarnation.0;
            NodeReply::AcknowledgedRange { end, at_least, incarnation }
        }
        NodeQuery::JoinHandover { group, fence, successor } => {
            NodeReply::JoinedHandover { joined: node.proxy.registry.join_handover(&group, fence, &successor) }
        }
        NodeQuery::Report { what, key } => {
            NodeReply::Report { json: operator::local_report(node, &what, &key).to_string() }
        }
    }
}

fn store_session(node: &Node, session: SessionState) -> NodeReply {
    if node.gossip.replicas.lock().unwrap().insert_if_newer(now(), session) {
        NodeReply::Done
    } else {
        // The replica table is full: this reply means that the session was not stored.
        NodeReply::FoundSession { session: None }
    }
}

fn differing_ranges(node: &Node, peer: &Name, digests: &[u64]) -> NodeReply {
    let live = node.gossip.live_nodes();
    let replicas = node.gossip.replicas.lock().unwrap();
    let own = replicas.range_digests(OwnerPair { local: &node.gossip.local_name, peer, live: &live });
    let differs = |i: &usize| digests.get(*i) != own.get(*i);
    let ranges = (0..own.len()).filter(differs).map(|i| i as u8).collect();
    NodeReply::DifferingRanges { ranges }
}

fn session_repair(node: &Node, peer: &Name, range: u8, have: &[SessionVersion]) -> NodeReply {
    let live = node.gossip.live_nodes();
    let replicas = node.gossip.replicas.lock().unwrap();
    let own =
        replicas.versions_in_range(OwnerPair { local: &node.gossip.local_name, peer, live: &live }, range);
    let diff = replicas.diff_range(&own, have);
    NodeReply::SessionRepair { newer: diff.newer, wanted: diff.wanted }
}

fn server_evidence(node: &Node, server: &Name) -> NodeReply {
    let observation = observe_server(node, server);
    NodeReply::ServerEvidence {
        heard: observation.server_known,
        failing: observation.failing,
        stalled: observation.stalled,
        answering: observation.answering,
    }
}
