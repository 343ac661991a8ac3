//! Anti-entropy of session replicas: owners compare digests, and strays are handed on to their owners.
use crate::gossip::GossipDriver;
use crate::node::Node;
use quincehatch_core::Name;
use quincehatch_gossip::ownership::replica_owners;
use quincehatch_gossip::session_replicas::OwnerPair;
use quincehatch_gossip::{LiveMember, NodeQuery, NodeReply};
use quincehatch_proxy::session::SessionState;
use quincehatch_runtime::now;
use std::sync::Arc;

/// Ranges that are repaired with one peer in one round.
const MAX_RANGES: usize = 4;
/// Sessions that are sent to the peer for one range.
const MAX_SENT: usize = 256;
/// Stray replicas that are handed on in one round.
const MAX_STRAYS: usize = 64;
/// Owners of a session in a cluster that has enough nodes.
const FULL_OWNER_COUNT: usize = 3;

/// Compares replicas with one other node, drawn at random, and repairs both sides from the newer; then hands on replicas
/// whose owners changed. A round that meets a node that does not answer ends early: another follows.
pub async fn repair_replicas(node: Arc<Node>) {
    let gossip = &node.gossip;
    let live = gossip.live_nodes();
    gossip.replicas.lock().unwrap().expire_closed(now());
    let others: Vec<Name> =
        live.iter().map(|member| member.name.clone()).filter(|name| *name != gossip.local_name).collect();
    let Some(peer) = others.get(fastrand::usize(..others.len().max(1))).cloned() else { return };
    if repair_with(gossip, &peer, &live).await.is_none() {
        return;
    }
    hand_on_strays(gossip, &live).await;
}

/// None if the peer did not answer.
async fn repair_with(gossip: &Arc<GossipDriver>, peer: &Name, live: &[LiveMember]) -> Option<()> {
    let local_name = &gossip.local_name;
    let owners = OwnerPair { local: local_name, peer, live };
    let digests = gossip.replicas.lock().unwrap().range_digests(owners);
    let query = NodeQuery::SessionDigests { from: local_name.clone(), digests };
    let Ok(NodeReply::DifferingRanges { ranges }) = gossip.query(peer, query).await else { return None };
    for range in ranges.into_iter().take(MAX_RANGES) {
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
    for id in wanted.into_iter().take(MAX_SENT) {
        let session = gossip.replicas.lock().unwrap().get(&id);
        if let Some(session) = session {
            let _ = gossip.query(peer, NodeQuery::StoreSession { session }).await;
        }
    }
}

/// Replicas that are kept here but owned by other nodes now: each is sent to all its owners, then removed.
async fn hand_on_strays(gossip: &Arc<GossipDriver>, live: &[LiveMember]) {
    for session in stray_sessions(gossip, live) {
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

fn stray_sessions(gossip: &GossipDriver, live: &[LiveMember]) -> Vec<SessionState> {
    let sessions = gossip.replicas.lock().unwrap().sessions();
    let is_stray = |session: &SessionState| !replica_owners(&session.id, live).contains(&gossip.local_name);
    sessions.into_iter().filter(is_stray).take(MAX_STRAYS).collect()
}

fn remove_unchanged(gossip: &GossipDriver, sent: &SessionState) {
    let mut replicas = gossip.replicas.lock().unwrap();
    if replicas.get(&sent.id).is_some_and(|kept| kept.version == sent.version) {
        replicas.remove(&sent.id);
    }
}
