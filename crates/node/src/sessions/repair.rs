//! Anti-entropy of session replicas: two nodes compare digests of the replicas that both own, and a node transfers the
//! replicas that it no longer owns to their owners.
use crate::gossip::GossipDriver;
use crate::node::Node;
use quincehatch_core::Name;
use quincehatch_gossip::ownership::replica_owners;
use quincehatch_gossip::session_replicas::OwnerPair;
use quincehatch_gossip::{LiveMember, NodeQuery, NodeReply};
use quincehatch_proxy::session::SessionState;
use quincehatch_runtime::now;
use std::sync::Arc;

/// Largest number of ranges that are repaired with the peer in one round.
const MAX_REPAIRED_RANGES: usize = 4;
/// Largest number of sessions that are sent to the peer for one range.
const MAX_SENT_PER_RANGE: usize = 256;
/// Largest number of misplaced replicas that are transferred in one round.
const MAX_TRANSFERRED: usize = 64;
/// Number of owners of a session in a cluster with enough nodes.
const FULL_OWNER_COUNT: usize = 3;

/// Runs one round of anti-entropy: compares replicas with a randomly chosen peer, updates each side's older replicas
/// from the newer ones, then transfers replicas whose owners changed. The round ends early if the peer does not answer;
/// a later round repeats the work.
pub async fn repair_replicas(node: Arc<Node>) {
    let gossip = &node.gossip;
    let live = gossip.live_nodes();
    gossip.replicas.lock().unwrap().expire_closed(now());
    let peers: Vec<Name> =
        live.iter().map(|member| member.name.clone()).filter(|name| *name != gossip.local_name).collect();
    let Some(peer) = peers.get(fastrand::usize(..peers.len().max(1))).cloned() else { return };
    if repair_with(gossip, &peer, &live).await.is_none() {
        return;
    }
    transfer_misplaced(gossip, &live).await;
}

/// Repairs the replicas that this node and the peer both own. Returns `None` if the peer did not answer.
async fn repair_with(gossip: &Arc<GossipDriver>, peer: &Name, live: &[LiveMember]) -> Option<()> {
    let local_name = &gossip.local_name;
    let owners = OwnerPair { local: local_name, peer, live };
    let digests = gossip.replicas.lock().unwrap().range_digests(owners);
    let query = NodeQuery::SessionDigests { from: local_name.clone(), digests };
    let Ok(NodeReply::DifferingRanges { ranges }) = gossip.query(peer, query).await else { return None };
    for range in ranges.into_iter().take(MAX_REPAIRED_RANGES) {
        let have = gossip.replicas.lock().unwrap().versions_in_range(owners, range);
        let query = NodeQuery::SessionRange { from: local_name.clone(), range, have };
        let Ok(NodeReply::SessionRepair { newer, wanted }) = gossip.query(peer, query).await else {
            return None;
        };
        for session in newer {
            gossip.replicas.lock().unwrap().insert_if_newer(now(), session);
        }
        send_wanted(gossip, peer, wanted).await;
    }
    Some(())
}

async fn send_wanted(gossip: &GossipDriver, peer: &Name, wanted: Vec<Name>) {
    for id in wanted.into_iter().take(MAX_SENT_PER_RANGE) {
        let session = gossip.replicas.lock().unwrap().get(&id);
        if let Some(session) = session {
            let _ = gossip.query(peer, NodeQuery::StoreSession { session }).await;
        }
    }
}

/// Sends each replica that this node stores but does not own to all its owners, and removes it once all of them have
/// stored it.
async fn transfer_misplaced(gossip: &Arc<GossipDriver>, live: &[LiveMember]) {
    for session in misplaced_sessions(gossip, live) {
        let owners = replica_owners(&session.id, live);
        let owner_count = owners.len();
        let query = NodeQuery::StoreSession { session: session.clone() };
        let replies = gossip.query_all(owners, query).await;
        let stored_by_all = replies.iter().all(|(_, reply)| matches!(reply, Some(NodeReply::Done)));
        if owner_count == FULL_OWNER_COUNT && stored_by_all {
            remove_unchanged(gossip, &session);
        }
    }
}

fn misplaced_sessions(gossip: &GossipDriver, live: &[LiveMember]) -> Vec<SessionState> {
    let sessions = gossip.replicas.lock().unwrap().sessions();
    let is_misplaced =
        |session: &SessionState| !replica_owners(&session.id, live).contains(&gossip.local_name);
    sessions.into_iter().filter(is_misplaced).take(MAX_TRANSFERRED).collect()
}

fn remove_unchanged(gossip: &GossipDriver, sent: &SessionState) {
    let mut replicas = gossip.replicas.lock().unwrap();
    if replicas.get(&sent.id).is_some_and(|stored| stored.version == sent.version) {
        replicas.remove(&sent.id);
    }
}
