//! What other nodes hear of one that begins to stop.
//!
//! Found by soak seed 124 (`quincehatch-lab soak --seeds 1 --from 124`): a group had no primary for 9.7 s. The node that
//! owned the group's promotion duty was told to stop while the group's primary stalled. A stopping node waits for its
//! requests, here those at the stalled primary, eight seconds at most; it began no promotion, and as it was still a live
//! member no other node did. Evidence: its log says "stopping" at 28.1 s and "stopped" at 36.7 s, a third node was up all
//! the time, and no promotion of the group was begun in between.
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

/// The members that another node considers live once it has heard from this one.
fn live_at_another(node: &Node) -> Vec<Name> {
    let record = MemberRecord {
        name: "n2".into(),
        addr: "127.0.0.1:6".into(),
        zone: "z".into(),
        incarnation: 1,
        status: MemberStatus::Alive,
    };
    let mut other = GossipMembership::new(record, Vec::new(), 7, 0);
    let from = node.gossip.membership.lock().unwrap().local.clone();
    let message = GossipMessage::Ping { seq: 1 };
    other.handle_message(0, GossipEnvelope { from, records: Vec::new(), message });
    other.live_members().into_iter().map(|member| member.name).collect()
}

#[tokio::test]
async fn a_node_that_begins_to_stop_owns_no_duty_any_more() {
    let node = Node::new(&settings());
    assert_eq!(live_at_another(&node), ["n1", "n2"].map(Name::from));
    node.begin_stop();
    assert_eq!(live_at_another(&node), [Name::from("n2")]);
}
