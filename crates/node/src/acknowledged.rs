//! Up to where every server of a group holds what was acknowledged, and which nodes may have acknowledged more since
//! (§5.5): what a choice by nodes' word rests on.
use crate::ClusterNode;
use crate::server_queries::ask;
use quincehatch_core::{FencingToken, Name, Position};
use quincehatch_gossip::{NodeQuery, NodeReply};
use quincehatch_proxy::ports::ServerCall;
use quincehatch_runtime::seam;
use quincehatch_store::{Reply, Request};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const WITHIN: Duration = Duration::from_millis(400);
/// A replica that has not received what the lead held is looked at again so often, and so many times.
const AGAIN: Duration = Duration::from_millis(150);
const TIMES: usize = 4;

/// Under the lead of this fence, all that was acknowledged before some moment is at or below `end`, and every server
/// that counts has received `end`. `nodes`: the lives that may have acknowledged something since.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settled {
    pub lead: FencingToken,
    pub end: Position,
    pub nodes: BTreeMap<Name, u64>,
}

pub type All = Mutex<BTreeMap<Name, Settled>>;

pub type Told = BTreeMap<Name, (Position, u64)>;

/// Asks every node that may act, and whether all of them answered. Nothing sent under a lower fence than `fence` is
/// passed on by those after this.
async fn tell(f: &Arc<ClusterNode>, g: &Name, fence: FencingToken) -> (Told, bool) {
    let tail = f.store_client.tail_address();
    let mut whole = true;
    let mut nodes: Vec<Name> = f.gossip.live_nodes().into_iter().map(|member| member.name).collect();
    match f.store_client.call(&tail, Request::Status, WITHIN).await {
        Ok(Reply::Status { status }) => nodes.extend(status.leases.into_iter().map(|l| l.node)),
        _ => whole = false,
    }
    nodes.sort();
    nodes.dedup();
    let mut out = BTreeMap::new();
    for (n, r) in f.gossip.query_all(nodes, NodeQuery::AcknowledgedEnd { group: g.clone(), fence }).await {
        match r {
            Some(NodeReply::AcknowledgedEnd { end, incarnation: life }) => drop(out.insert(n, (end, life))),
            _ => whole = false,
        }
    }
    (out, whole)
}

/// Finds that the group's servers hold all that the lead held a moment ago. Nodes are counted first, so that whoever
/// acknowledges anything beyond `end` is among them, or began later and is asked when it matters.
pub async fn settle(
    f: &Arc<ClusterNode>,
    g: &Name,
    lead: FencingToken,
    server: &Name,
    holders: &[Name],
) -> Option<()> {
    let (nodes, whole) = tell(f, g, 0).await;
    // Where nothing new is settled, whoever came meanwhile is asked too when it matters. One that comes and is gone
    // between two of these goes unseen.
    if let Some(s) = f.promotion_state.settled.lock().unwrap().get_mut(g).filter(|s| s.lead == lead) {
        for (n, (_, life)) in &nodes {
            s.nodes.entry(n.clone()).or_insert(*life);
        }
    }
    if !whole {
        return None;
    }
    let end = ask(f, server, ServerCall::Status).await?.received;
    for i in 0..TIMES {
        let looks = seam::join_all(holders.iter().map(|h| ask(f, h, ServerCall::Status))).await;
        if looks.iter().all(|l| l.is_some_and(|l| l.received >= end)) {
            let nodes = nodes.into_iter().map(|(n, (_, life))| (n, life)).collect();
            f.promotion_state.settled.lock().unwrap().insert(g.clone(), Settled { lead, end, nodes });
            return Some(());
        }
        if i + 1 < TIMES {
            seam::sleep(AGAIN).await;
        }
    }
    None
}

/// The end of all that nodes passed on as acknowledged under the lead of fence `lead`; none unless every life that may
/// have done so told. They pass on nothing sent under a lower fence than `fence` any more.
pub async fn acked(
    f: &Arc<ClusterNode>,
    g: &Name,
    lead: FencingToken,
    fence: FencingToken,
) -> Option<Position> {
    let s = f.promotion_state.settled.lock().unwrap().get(g).filter(|s| s.lead == lead).cloned()?;
    let (told, whole) = tell(f, g, fence).await;
    reach(&s, &told).filter(|_| whole)
}

pub fn reach(s: &Settled, told: &Told) -> Option<Position> {
    let all = s.nodes.iter().all(|(n, life)| told.get(n).is_some_and(|(_, l)| l == life));
    all.then(|| told.values().map(|(end, _)| *end).max().unwrap_or_default().max(s.end))
}
