//! The node's side of the gossip protocol: membership state, session replicas stored here, queries to other nodes.
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

/// Timeout of a query to another node.
const QUERY_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a gossip message. It is short because a lost message is followed by another.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time that a leaving node waits for its last messages to be sent.
const LEAVE_PAUSE: Duration = Duration::from_millis(100);

/// Runs the gossip protocol over the runtime seam.
pub struct GossipDriver {
    /// This node's name.
    pub local_name: Name,
    pub(crate) identity: Identity,
    /// The membership state of the cluster's nodes.
    pub membership: Mutex<GossipMembership>,
    /// The session replicas that this node stores.
    pub replicas: Mutex<SessionReplicaTable>,
    caller: Arc<Caller>,
}

impl GossipDriver {
    /// Creates the driver of the node with these settings. It initially knows only the addresses of its seeds.
    pub fn new(settings: &NodeSettings) -> Arc<Self> {
        let local = MemberRecord {
            name: settings.name.as_str().into(),
            addr: settings.gossip_listener.as_str().into(),
            zone: settings.zone.as_str().into(),
            // A restarted node must supersede older records of itself, so its incarnation is its start time.
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

    /// Returns the live nodes, including this one.
    pub fn live_nodes(&self) -> Vec<LiveMember> {
        self.membership.lock().unwrap().live_members()
    }

    /// Returns the names of the live nodes, including this one.
    pub fn live_names(&self) -> Vec<Name> {
        self.live_nodes().into_iter().map(|member| member.name).collect()
    }

    /// Returns the names of the live nodes except this one.
    pub fn other_live_names(&self) -> Vec<Name> {
        self.live_names().into_iter().filter(|name| *name != self.local_name).collect()
    }

    /// Returns the names of the nodes that have announced that they leave.
    pub fn leaving_names(&self) -> Vec<Name> {
        self.membership.lock().unwrap().names_with_status(|status| status == MemberStatus::Left)
    }

    /// Queries one node. Fails if the node is unknown or does not answer in time.
    pub async fn query(&self, node: &str, query: NodeQuery) -> Result<NodeReply, Error> {
        let addr = self.membership.lock().unwrap().addr(node);
        let unknown = || ErrorCode::Unreachable.with_detail(format_args!("node {node} is not known"));
        let addr = addr.ok_or_else(unknown)?;
        let destination = Destination::process(node, &addr);
        match self.caller.call(destination, &NodeRequest::Query { query }, QUERY_TIMEOUT).await? {
            NodeResponse::Reply { reply } => Ok(reply),
            NodeResponse::Accepted => {
                Err(ErrorCode::Unreachable.with_detail("unexpected response to a query"))
            }
        }
    }

    /// Sends the same query to several nodes concurrently. Returns the replies in the order of the nodes' names, `None`
    /// for a node that failed or did not answer in time.
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

    /// Sends a gossip message in a separate task. The message may be lost.
    pub(crate) fn send(self: &Arc<Self>, to: Name, message: GossipEnvelope) {
        let driver = self.clone();
        seam::spawn(async move {
            let request = NodeRequest::Gossip { message };
            // The destination is an address alone, because the names of seeds are not known yet; a receiver names
            // itself in its own messages.
            let _ = driver.caller.call(Destination::address(&to), &request, MESSAGE_TIMEOUT).await;
        });
    }

    /// Notifies the other nodes that this one leaves.
    pub fn send_leave(self: &Arc<Self>) {
        let actions = self.membership.lock().unwrap().leave();
        for action in actions {
            if let GossipAction::Send(to, message) = action {
                self.send(to, message);
            }
        }
    }

    /// Notifies the other nodes once more that this one leaves, and waits while the messages are sent.
    pub async fn announce_leave_and_wait(self: &Arc<Self>) {
        self.send_leave();
        seam::sleep(LEAVE_PAUSE).await;
    }
}
