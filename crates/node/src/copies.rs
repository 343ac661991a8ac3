//! Sessions' copies over the mesh: placed before they are promised, mended by digests (§6.4).
use crate::ClusterNode;
use crate::gossip::GossipDriver;
use quincehatch_core::{Error, ErrorCode, Name, Version};
use quincehatch_gossip::ownership::replica_owners;
use quincehatch_gossip::session_replicas::OwnerPair;
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_proxy::session::SessionState;
use quincehatch_proxy::session::replicas::SessionReplicas;
use quincehatch_runtime::now;
use quincehatch_runtime::seam::BoxFuture;
use std::sync::Arc;

/// Copies are compared with one other owner by digests over ranges and mended from the newer; copies whose
/// owners changed are handed on (§6.4).
pub async fn mend(f: Arc<ClusterNode>) {
    let live = f.gossip.live_nodes();
    let me = f.gossip.local_name.clone();
    f.gossip.replicas.lock().unwrap().expire_closed(now());
    let others: Vec<Name> = live.iter().map(|member| member.name.clone()).filter(|n| *n != me).collect();
    let Some(peer) = others.get(fastrand::usize(..others.len().max(1))).cloned() else { return };
    let sums =
        f.gossip.replicas.lock().unwrap().range_digests(OwnerPair { local: &me, peer: &peer, live: &live });
    let ask = NodeQuery::SessionDigests { from: me.clone(), digests: sums };
    let Ok(NodeReply::DifferingRanges { ranges }) = f.gossip.query(&peer, ask).await else { return };
    for range in ranges.into_iter().take(4) {
        let have = f
            .gossip
            .replicas
            .lock()
            .unwrap()
            .versions_in_range(OwnerPair { local: &me, peer: &peer, live: &live }, range);
        let ask = NodeQuery::SessionRange { from: me.clone(), range, have };
        let Ok(NodeReply::SessionRepair { newer, wanted }) = f.gossip.query(&peer, ask).await else { return };
        for c in newer {
            f.gossip.replicas.lock().unwrap().insert_if_newer(now(), c);
        }
        for id in wanted.into_iter().take(256) {
            let ctx = f.gossip.replicas.lock().unwrap().get(&id);
            if let Some(ctx) = ctx {
                let _ = f.gossip.query(&peer, NodeQuery::StoreSession { session: ctx }).await;
            }
        }
    }
    // Held here but owned by others now: hand each on to all its owners, then let it go.
    let strays: Vec<SessionState> = {
        let t = f.gossip.replicas.lock().unwrap();
        t.sessions().into_iter().filter(|c| !replica_owners(&c.id, &live).contains(&me)).take(64).collect()
    };
    for c in strays {
        let to = replica_owners(&c.id, &live);
        let n = to.len();
        let got = f.gossip.query_all(to, NodeQuery::StoreSession { session: c.clone() }).await;
        if n == 3 && got.iter().all(|(_, r)| matches!(r, Some(NodeReply::Done))) {
            let mut t = f.gossip.replicas.lock().unwrap();
            if t.get(&c.id).is_some_and(|h| h.version == c.version) {
                t.remove(&c.id);
            }
        }
    }
}

pub struct MeshCopies(pub Arc<GossipDriver>);

impl SessionReplicas for MeshCopies {
    fn store(&self, c: SessionState) -> BoxFuture<'_, Result<(), Error>> {
        Box::pin(async move {
            let to = replica_owners(&c.id, &self.0.live_nodes());
            let n = to.len();
            let got = self.0.query_all(to, NodeQuery::StoreSession { session: c }).await;
            let done = got.iter().filter(|(_, r)| matches!(r, Some(NodeReply::Done))).count();
            // A fleet of fewer than three nodes has fewer owners; a majority of those there are.
            if done * 2 > n {
                Ok(())
            } else {
                Err(ErrorCode::NoMajority
                    .with_detail("the session's copies could not be placed")
                    .with_unknown_outcome()
                    .with_retry_after(500))
            }
        })
    }
    fn find<'a>(&'a self, id: &'a str, knows: Version) -> BoxFuture<'a, Result<Option<SessionState>, Error>> {
        Box::pin(async move {
            let live = self.0.live_nodes();
            let to = replica_owners(id, &live);
            let ask = NodeQuery::FindSession { id: id.into() };
            let newest = |got: Vec<(Name, Option<NodeReply>)>| {
                let answered = got.iter().filter(|(_, r)| r.is_some()).count();
                let copies: Vec<SessionState> = got
                    .into_iter()
                    .filter_map(|(_, r)| match r {
                        Some(NodeReply::FoundSession { session }) => session,
                        _ => None,
                    })
                    .collect();
                let any = !copies.is_empty();
                (answered, any, copies.into_iter().filter(|c| c.includes(knows)).max_by_key(|c| c.version))
            };
            let n = to.len();
            let (answered, _, best) = newest(self.0.query_all(to, ask.clone()).await);
            if answered * 2 > n && best.is_some() {
                return Ok(best);
            }
            // The owners changed or some are gone: anyone may hold what the origin knows to exist.
            let all: Vec<Name> = live.iter().map(|member| member.name.clone()).collect();
            let n = all.len();
            match newest(self.0.query_all(all, ask).await) {
                (_, _, Some(c)) => Ok(Some(c)),
                (_, true, None) => Err(ErrorCode::SessionLost.without_detail()),
                (answered, false, None) if answered == n => Ok(None),
                _ => Err(ErrorCode::NoMajority
                    .with_detail("the session's owners do not answer")
                    .with_retry_after(500)),
            }
        })
    }
}
