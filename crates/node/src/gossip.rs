//! Runs the mesh under tokio, and keeps sessions' copies over it (§6).
use crate::{ClusterNode, report};
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_gossip::session_replicas::{OwnerPair, SessionReplicaTable};
use quincehatch_gossip::{
    GossipAction, GossipEnvelope, GossipMembership, LiveMember, MemberRecord, MemberStatus, NodeQuery,
    NodeReply, NodeRequest, NodeResponse,
};
use quincehatch_runtime::now;
use quincehatch_runtime::seam;
use quincehatch_wire::{Caller, Destination, Identity, Received};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;

const QUERY_WITHIN: Duration = Duration::from_millis(700);
const LETTER: Duration = Duration::from_millis(400);
const LINKS: usize = 512;

pub struct GossipDriver {
    pub local_name: Name,
    identity: Identity,
    pub membership: Mutex<GossipMembership>,
    pub replicas: Mutex<SessionReplicaTable>,
    caller: Arc<Caller>,
}

impl GossipDriver {
    pub fn new(s: &NodeSettings) -> Arc<GossipDriver> {
        // A node that comes back must outrank what was said of it: its start time is its incarnation.
        let inc = seam::wall_clock_ms();
        let (name, addr, district) =
            (s.name.as_str().into(), s.gossip_listener.as_str().into(), s.zone.as_str().into());
        let me = MemberRecord { name, addr, zone: district, incarnation: inc, status: MemberStatus::Alive };
        let seeds = s.seeds.iter().map(|x| x.as_str().into()).collect();
        let identity = Identity::new(&s.name);
        Arc::new(GossipDriver {
            local_name: me.name.clone(),
            identity: identity.clone(),
            membership: Mutex::new(GossipMembership::new(me, seeds, fastrand::u64(..), now())),
            replicas: Mutex::default(),
            caller: Caller::new(identity),
        })
    }
    pub fn live_nodes(&self) -> Vec<LiveMember> {
        self.membership.lock().unwrap().live()
    }
    pub async fn query(&self, node: &str, ask: NodeQuery) -> Result<NodeReply, Error> {
        let addr = self.membership.lock().unwrap().addr(node);
        let addr =
            addr.ok_or_else(|| ErrorCode::Unreachable.with_detail(format_args!("node {node} is not known")))?;
        let to = Destination::process(node, &addr);
        match self.caller.call(to, &NodeRequest::Query { query: ask }, QUERY_WITHIN).await? {
            NodeResponse::Reply { reply } => Ok(reply),
            NodeResponse::Accepted => Err(ErrorCode::Unreachable.with_detail("an answer that is none")),
        }
    }
    /// The same question to many, side by side; whoever does not answer in time is left out.
    pub async fn query_all(
        self: &Arc<Self>,
        nodes: Vec<Name>,
        ask: NodeQuery,
    ) -> Vec<(Name, Option<NodeReply>)> {
        let one = |n: Name| {
            let (net, ask) = (self.clone(), ask.clone());
            async move {
                let r = net.query(&n, ask).await.ok();
                (n, r)
            }
        };
        let mut out = seam::join_all(nodes.into_iter().map(one)).await;
        out.sort_by(|a, b| a.0.cmp(&b.0));
        out
    }
    fn send(self: &Arc<Self>, to: Name, l: GossipEnvelope) {
        let net = self.clone();
        seam::spawn(async move {
            let k = NodeRequest::Gossip { message: l };
            // Letters go to addresses, as seeds have no name yet; who answers says so within.
            let _ = net.caller.call(Destination::address(&to), &k, LETTER).await;
        });
    }
    pub async fn announce_leave(self: &Arc<Self>) {
        let outs = self.membership.lock().unwrap().leave();
        outs.into_iter().for_each(|o| {
            if let GossipAction::Send(to, l) = o {
                self.send(to, l);
            }
        });
        seam::sleep(Duration::from_millis(100)).await;
    }
}

fn act(f: &Arc<ClusterNode>, outs: Vec<GossipAction>) {
    for o in outs {
        match o {
            GossipAction::Send(to, l) => f.gossip.send(to, l),
            GossipAction::Heartbeats(bs) => bs.into_iter().for_each(|b| {
                record_heartbeat(f, b);
            }),
            GossipAction::StatusChanged(n, l) => log::info!(target: "mesh", "node {n} is now {l:?}"),
        }
    }
}

/// A server's beat, from itself or over the mesh: news is put on the blackboard and spread on.
pub fn record_heartbeat(f: &ClusterNode, b: quincehatch_core::ServerHeartbeat) -> bool {
    let news = f.proxy.registry.apply_heartbeat(b.clone());
    if news {
        f.gossip.membership.lock().unwrap().spread_heartbeat(b);
    }
    news
}

/// What another process of the fleet sent, and the answer to it.
pub fn handle_request(f: &Arc<ClusterNode>, k: NodeRequest) -> NodeResponse {
    match k {
        NodeRequest::Gossip { message } => {
            let outs = f.gossip.membership.lock().unwrap().handle_message(now(), message);
            act(f, outs);
            NodeResponse::Accepted
        }
        NodeRequest::Query { query } => NodeResponse::Reply { reply: answer(f, query) },
    }
}

/// The same where servers are met over held links: what was not seen of one lately is looked at first (§5.5).
pub async fn handle_request_probing_first(f: &Arc<ClusterNode>, k: NodeRequest) -> NodeResponse {
    if let NodeRequest::Query { query: NodeQuery::ServerEvidence { server } } = &k
        && f.ports.is_some()
    {
        crate::held_watch::look_again(f, server).await;
    }
    handle_request(f, k)
}

/// The answer to a frame of another process; none where it is no frame of this protocol.
pub async fn respond_to_frame(f: &Arc<ClusterNode>, frame: &[u8]) -> Option<Vec<u8>> {
    quincehatch_wire::respond(&f.gossip.identity, frame, |k: NodeRequest| handle_request_probing_first(f, k))
        .await
        .ok()
}

/// The same where no server is looked at before, so that nothing is waited for.
pub fn respond_without_probing(f: &Arc<ClusterNode>, frame: &[u8]) -> Option<Vec<u8>> {
    let me = &f.gossip.identity;
    match quincehatch_wire::receive::<NodeRequest>(me, frame).ok()? {
        Received::Request { call, request } => {
            quincehatch_wire::encode_answer_frame::<NodeRequest>(me, call, &handle_request(f, request)).ok()
        }
        Received::Rejected(frame) => Some(frame),
    }
}

/// Answers other processes on the mesh address.
pub async fn serve(f: Arc<ClusterNode>, lst: TcpListener) {
    let me = f.gossip.identity.clone();
    quincehatch_wire::serve(lst, LINKS, me, move |k: NodeRequest| {
        let f = f.clone();
        async move { handle_request_probing_first(&f, k).await }
    })
    .await;
}

pub async fn run(f: Arc<ClusterNode>) {
    let mut round = 0u64;
    loop {
        seam::sleep(Duration::from_millis(50)).await;
        let outs = f.gossip.membership.lock().unwrap().tick(now());
        act(&f, outs);
        round += 1;
        if round.is_multiple_of(30) {
            seam::spawn(crate::copies::mend(f.clone()));
        }
    }
}

fn answer(f: &Arc<ClusterNode>, ask: NodeQuery) -> NodeReply {
    let live = f.gossip.live_nodes();
    let mut t = f.gossip.replicas.lock().unwrap();
    match ask {
        NodeQuery::StoreSession { session } => {
            if t.insert_if_newer(now(), session) {
                NodeReply::Done
            } else {
                NodeReply::FoundSession { session: None }
            }
        }
        NodeQuery::FindSession { id } => NodeReply::FoundSession { session: t.get(&id) },
        NodeQuery::SessionDigests { from, digests: sums } => {
            let mine = t.range_digests(OwnerPair { local: &f.gossip.local_name, peer: &from, live: &live });
            let ranges = (0..mine.len()).filter(|i| sums.get(*i) != mine.get(*i)).map(|i| i as u8).collect();
            NodeReply::DifferingRanges { ranges }
        }
        NodeQuery::SessionRange { from, range, have } => {
            let mine = t.versions_in_range(
                OwnerPair { local: &f.gossip.local_name, peer: &from, live: &live },
                range,
            );
            let diff = t.diff_range(&mine, &have);
            NodeReply::SessionRepair { newer: diff.newer, wanted: diff.wanted }
        }
        NodeQuery::ServerEvidence { server } => {
            let e = crate::duties::eye(f, &server);
            NodeReply::ServerEvidence {
                heard: e.known_here,
                failing: e.failing,
                stalled: e.stalled,
                answering: e.answering,
            }
        }
        NodeQuery::SuspectPrimary { group, server } => {
            f.promotion_state.record_suspicion(group, server);
            NodeReply::Done
        }
        NodeQuery::InFlight { group } => {
            NodeReply::InFlight { count: f.proxy.registry.in_flight.open_count(&group) as u64 }
        }
        NodeQuery::AcknowledgedEnd { group, fence } => NodeReply::AcknowledgedEnd {
            end: f.proxy.registry.seal_acknowledged(&group, fence),
            incarnation: f.promotion_state.incarnation.0,
        },
        NodeQuery::Report { what, key } => {
            drop(t);
            NodeReply::Report { json: report::of(f, &what, &key).to_string() }
        }
    }
}
