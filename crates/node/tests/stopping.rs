//! The membership status of a node that begins to stop.
//!
//! Guards against a failure found by soak seed 124 (`quincehatch-lab soak --seeds 1 --from 124`): a group had no
//! primary for 9.7 s. The owner of the group's promotion duty was stopping from 28.1 s to 36.7 s, waiting up to eight
//! seconds for its requests at the group's stalled primary. It started no promotion itself, and because it was still a
//! live member, no other node took the duty over, although a third node was up all the time.
use quincehatch_config::settings::NodeSettings;
use quincehatch_core::Name;
use quincehatch_gossip::{GossipEnvelope, GossipMembership, GossipMessage, MemberRecord, MemberStatus};
use quincehatch_node::Node;

fn settings() -> NodeSettings {
    NodeSettings {
        name: "n1".into(),
        zone: "z".into(),
        client_listener: "127.0.0.1:1".into(),
        operator_listener: "127.0.0.1:2".into(),
        gossip_listener: "127.0.0.1:3".into(),
        seeds: Vec::new(),
        keepers: vec!["127.0.0.1:4".into()],
        platform: "127.0.0.1:5".into(),
        token: "t".into(),
        log: "off".into(),
        threads: 1,
    }
}

/// Returns the members that a peer considers live after it has received a message from `node`.
fn live_at_peer(node: &Node) -> Vec<Name> {
    let record = MemberRecord {
        name: "n2".into(),
        addr: "127.0.0.1:6".into(),
        zone: "z".into(),
        incarnation: 1,
        status: MemberStatus::Alive,
    };
    let mut peer = GossipMembership::new(record, Vec::new(), 7, 0);
    let from = node.gossip.membership.lock().unwrap().local.clone();
    let message = GossipMessage::Ping { seq: 1 };
    peer.handle_message(0, GossipEnvelope { from, records: Vec::new(), message });
    peer.live_members().into_iter().map(|member| member.name).collect()
}

#[tokio::test]
async fn peers_no_longer_consider_a_node_live_once_it_begins_to_stop() {
    let node = Node::new(&settings());
    assert_eq!(live_at_peer(&node), ["n1", "n2"].map(Name::from));
    node.begin_shutdown();
    assert_eq!(live_at_peer(&node), [Name::from("n2")]);
}
