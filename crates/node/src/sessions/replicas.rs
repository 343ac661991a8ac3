//! Replicas of sessions on other nodes, stored over the gossip protocol before the request that changed the session is
//! answered.
use crate::gossip::GossipDriver;
use quincehatch_core::{Error, ErrorCode, Name, Version};
use quincehatch_gossip::ownership::replica_owners;
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_proxy::session::SessionState;
use quincehatch_proxy::session::replicas::SessionReplicas;
use quincehatch_runtime::seam::BoxFuture;
use std::sync::Arc;

/// Time after which a client may retry when its session could not be replicated or found, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// Session replicas on the nodes that own the session's key.
pub struct GossipSessionReplicas(pub Arc<GossipDriver>);

impl SessionReplicas for GossipSessionReplicas {
    fn store(&self, session: SessionState) -> BoxFuture<'_, Result<(), Error>> {
        Box::pin(self.store_at_majority(session))
    }

    fn find<'a>(
        &'a self,
        id: &'a str,
        version: Version,
    ) -> BoxFuture<'a, Result<Option<SessionState>, Error>> {
        Box::pin(self.find_newest(id, version))
    }
}

impl GossipSessionReplicas {
    async fn store_at_majority(&self, session: SessionState) -> Result<(), Error> {
        let owners = replica_owners(&session.id, &self.0.live_nodes());
        let owner_count = owners.len();
        let replies = self.0.query_all(owners, NodeQuery::StoreSession { session }).await;
        let stored = replies.iter().filter(|(_, reply)| matches!(reply, Some(NodeReply::Done))).count();
        // A cluster of fewer than three nodes has fewer owners, so the majority is counted among the present ones.
        if stored * 2 > owner_count {
            return Ok(());
        }
        let error = ErrorCode::NoMajority.with_detail("no majority of the session's owners stored it");
        Err(error.with_unknown_outcome().with_retry_after(RETRY_AFTER_MS))
    }

    async fn find_newest(&self, id: &str, version: Version) -> Result<Option<SessionState>, Error> {
        let live = self.0.live_nodes();
        let owners = replica_owners(id, &live);
        let owner_count = owners.len();
        let owner_result = self.search(owners, id, version).await;
        if owner_result.answered * 2 > owner_count && owner_result.newest.is_some() {
            return Ok(owner_result.newest);
        }
        // The owners may have changed or failed, so any node may still store the session that the client refers to.
        let all_nodes: Vec<Name> = live.iter().map(|member| member.name.clone()).collect();
        let node_count = all_nodes.len();
        let cluster_result = self.search(all_nodes, id, version).await;
        if cluster_result.newest.is_some() {
            return Ok(cluster_result.newest);
        }
        if cluster_result.found_any {
            return Err(ErrorCode::SessionLost.without_detail());
        }
        if cluster_result.answered == node_count {
            return Ok(None);
        }
        let error =
            ErrorCode::NoMajority.with_detail("the session was not found, and some nodes did not answer");
        Err(error.with_retry_after(RETRY_AFTER_MS))
    }

    async fn search(&self, nodes: Vec<Name>, id: &str, version: Version) -> SearchResult {
        let replies = self.0.query_all(nodes, NodeQuery::FindSession { id: id.into() }).await;
        let mut result = SearchResult::default();
        for reply in replies.into_iter().filter_map(|(_, reply)| reply) {
            result.answered += 1;
            if let NodeReply::FoundSession { session: Some(session) } = reply {
                result.add(session, version);
            }
        }
        result
    }
}

/// The replies of the nodes that were queried for a session.
#[derive(Default)]
struct SearchResult {
    /// The number of nodes that answered.
    answered: usize,
    /// Whether any node has a replica, even one that lacks the requested version.
    found_any: bool,
    /// The newest replica that includes the requested version.
    newest: Option<SessionState>,
}

impl SearchResult {
    fn add(&mut self, session: SessionState, version: Version) {
        self.found_any = true;
        let is_newest = self.newest.as_ref().is_none_or(|newest| session.version >= newest.version);
        if session.includes(version) && is_newest {
            self.newest = Some(session);
        }
    }
}
