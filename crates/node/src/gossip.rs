//! The node's end of the gossip protocol: its membership state, its share of session replicas, calls to other nodes.
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::{Error, ErrorCode, Name};
use quincehatch_gossip::session_replicas::SessionReplicaTable;
use quincehatch_gossip::{
    GossipAction, GossipEnvelope, GossipMembership, LiveMember, MemberRecord, MemberStatus, NodeQuery,
    NodeReply, NodeRequest, NodeResponse,
};
use quincehatch_runtime::{now, seam};
use quincehatch_wire::{Caller, Destination, Identity};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A node that has not answered a question by then counts as not answering.
const QUERY_TIMEOUT: Duration = Duration::from_millis(700);
/// Gossip messages are not worth waiting for longer: another follows.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for the last messages of a node that leaves to go out.
const LEAVE_PAUSE: Duration = Duration::from_millis(100);

/// Runs the gossip protocol over the runtime seam.
pub struct GossipDriver {
    /// This node's name.
    pub local_name: Name,
    pub(crate) identity: Identity,
    /// What is known of the nodes of the cluster.
    pub membership: Mutex<GossipMembership>,
    /// The session replicas that this node keeps.
    pub replicas: Mutex<SessionReplicaTable>,
    caller: Arc<Caller>,
}

impl GossipDriver {
    /// A driver for the node of these settings, which knows nobody but its seeds.
    pub fn new(settings: &NodeSettings) -> Arc<Self> {
        let local = MemberRecord {
            name: settings.name.as_str().into(),
            addr: settings.gossip_listener.as_str().into(),
            zone: settings.zone.as_str().into(),
            // A node that comes back must outrank what was said of it: its start time is its incarnation.
            incarnation: seam::wall_clock_ms(),
            status: MemberStatus::Alive,
        };
        let seeds = settings.seeds.iter().map(|seed| seed.as_str().into()).collect();
        let identity = Identity::new(&settings.name);
        Arc::new(Self {
            local_name: local.name.clone(),
            identity: identity.clone(),
            membership: Mutex::new(GossipMembership::new(local, seeds, fastrand::u64(..), now())),
            replicas: Mutex::default(),
            caller: Caller::new(identity),
        })
    }

    /// The live nodes, this one too.
    pub fn live_nodes(&self) -> Vec<LiveMember> {
        self.membership.lock().unwrap().live_members()
    }

    /// The names of the live nodes, this one too.
    pub fn live_names(&self) -> Vec<Name> {
        self.live_nodes().into_iter().map(|member| member.name).collect()
    }

    /// The names of the live nodes but this one.
    pub fn other_live_names(&self) -> Vec<Name> {
        self.live_names().into_iter().filter(|name| *name != self.local_name).collect()
    }

    /// The names of the nodes that have said that they leave.
    pub fn leaving_names(&self) -> Vec<Name> {
        self.membership.lock().unwrap().names_with_status(|status| status == MemberStatus::Left)
    }

    /// Asks one node. Fails if it is not known, or does not answer in time.
    pub async fn query(&self, node: &str, query: NodeQuery) -> Result<NodeReply, Error> {
        let addr = self.membership.lock().unwrap().addr(node);
        let unknown = || ErrorCode::Unreachable.with_detail(format_args!("node {node} is not known"));
        let addr = addr.ok_or_else(unknown)?;
        let destination = Destination::process(node, &addr);
        match self.caller.call(destination, &NodeRequest::Query { query }, QUERY_TIMEOUT).await? {
            NodeResponse::Reply { reply } => Ok(reply),
            NodeResponse::Accepted => Err(ErrorCode::Unreachable.with_detail("not an answer to a query")),
        }
    }

    /// Asks many nodes the same side by side. The replies are in the order of names; none from a node that did not
    /// answer in time.
    pub async fn query_all(
        self: &Arc<Self>,
        nodes: Vec<Name>,
        query: NodeQuery,
    ) -> Vec<(Name, Option<NodeReply>)> {
        let query_one = |name: Name| {
            let (driver, query) = (self.clone(), query.clone());
            async move {
                let reply = driver.query(&name, query).await.ok();
                (name, reply)
            }
        };
        let mut replies = seam::join_all(nodes.into_iter().map(query_one)).await;
        replies.sort_by(|a, b| a.0.cmp(&b.0));
        replies
    }

    /// Sends a message, which may be lost, in a task of its own.
    pub(crate) fn send(self: &Arc<Self>, to: Name, message: GossipEnvelope) {
        let driver = self.clone();
        seam::spawn(async move {
            let request = NodeRequest::Gossip { message };
            // Messages go to addresses, as seeds have no name yet; who answers says so within.
            let _ = driver.caller.call(Destination::address(&to), &request, MESSAGE_TIMEOUT).await;
        });
    }

    /// Tells the other nodes that this one leaves.
    pub fn send_leave(self: &Arc<Self>) {
        let actions = self.membership.lock().unwrap().leave();
        for action in actions {
            if let GossipAction::Send(to, message) = action {
                self.send(to, message);
            }
        }
    }

    /// Tells the other nodes once more, and waits until the messages have gone out.
    pub async fn announce_leave(self: &Arc<Self>) {
        self.send_leave();
        seam::sleep(LEAVE_PAUSE).await;
    }
}
