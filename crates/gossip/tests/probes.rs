//! Checks that an answer to a probe counts only for the probed member and only in the same incarnation of the prober.
use quincehatch_core::{Millis, Name};
use quincehatch_gossip::{
    GossipAction, GossipEnvelope, GossipMembership, GossipMessage, MemberRecord, MemberStatus,
};

fn node(name: &str, addr: &str, incarnation: u64) -> MemberRecord {
    MemberRecord {
        name: name.into(),
        addr: addr.into(),
        zone: "d".into(),
        incarnation,
        status: MemberStatus::Alive,
    }
}

fn envelope(from: &MemberRecord, message: GossipMessage) -> GossipEnvelope {
    GossipEnvelope { from: from.clone(), records: Vec::new(), message }
}

fn status_of(membership: &GossipMembership, name: &str) -> Option<MemberStatus> {
    let record = membership.member_records().into_iter().find(|record| record.name == name);
    record.map(|record| record.status)
}

/// Runs `membership` until `end` and answers each of its probes to the address of `responder` as `responder`.
fn answer_as(membership: &mut GossipMembership, responder: &MemberRecord, end: Millis) {
    for now in (0..end).step_by(50) {
        for action in membership.tick(now) {
            let GossipAction::Send(to, sent) = action else { continue };
            let GossipMessage::Ping { seq } = sent.message else { continue };
            if to == responder.addr {
                membership.handle_message(now, envelope(responder, GossipMessage::Pong { seq }));
            }
        }
    }
}

/// Returns the number of the first ping among these actions that goes to `addr`, or to any address if that is `None`.
fn ping_to(actions: Vec<GossipAction>, addr: Option<&str>) -> Option<u64> {
    actions.into_iter().find_map(|action| match action {
        GossipAction::Send(to, GossipEnvelope { message: GossipMessage::Ping { seq }, .. }) => {
            addr.is_none_or(|addr| to == addr).then_some(seq)
        }
        _ => None,
    })
}

/// Returns the address and the number of each pong among these actions.
fn pongs(actions: Vec<GossipAction>) -> Vec<(Name, u64)> {
    let pong = |action| match action {
        GossipAction::Send(to, GossipEnvelope { message: GossipMessage::Pong { seq }, .. }) => {
            Some((to, seq))
        }
        _ => None,
    };
    actions.into_iter().filter_map(pong).collect()
}

#[test]
fn an_answer_of_another_process_at_a_members_address_does_not_count_for_the_member() {
    let (old, new) = (node("n2", "there", 1), node("n9", "there", 1));
    let mut membership = GossipMembership::new(node("n1", "here", 1), vec![], 7, 0);
    membership.handle_message(0, envelope(&old, GossipMessage::Ping { seq: 1 }));
    answer_as(&mut membership, &new, 6_000);
    assert_eq!(status_of(&membership, "n2"), Some(MemberStatus::Dead));
    assert_eq!(status_of(&membership, "n9"), Some(MemberStatus::Alive));
}

#[test]
fn a_member_that_answers_probes_stays_alive() {
    let peer = node("n2", "there", 1);
    let mut membership = GossipMembership::new(node("n1", "here", 1), vec![], 7, 0);
    membership.handle_message(0, envelope(&peer, GossipMessage::Ping { seq: 1 }));
    answer_as(&mut membership, &peer, 6_000);
    assert_eq!(status_of(&membership, "n2"), Some(MemberStatus::Alive));
}

#[test]
fn a_relay_forwards_only_the_answer_of_the_member_that_it_was_asked_to_probe() {
    let (requester, unprobed, probed) =
        (node("n2", "requester", 1), node("n9", "there", 1), node("n3", "there", 1));
    let mut relay = GossipMembership::new(node("n1", "here", 1), vec![], 7, 0);
    let request = GossipMessage::PingFor { seq: 5, target: "n3".into(), addr: "there".into() };
    let actions = relay.handle_message(0, envelope(&requester, request));
    let seq = ping_to(actions, Some("there")).expect("a probe was sent");
    assert_eq!(pongs(relay.handle_message(1, envelope(&unprobed, GossipMessage::Pong { seq }))), []);
    assert_eq!(
        pongs(relay.handle_message(2, envelope(&probed, GossipMessage::Pong { seq }))),
        [("requester".into(), 5)]
    );
}

#[test]
fn probes_of_two_incarnations_have_different_numbers() {
    let peer = node("n2", "there", 1);
    let first_probe = |seed: u64| {
        let mut membership = GossipMembership::new(node("n1", "here", 1), vec![], seed, 0);
        membership.handle_message(0, envelope(&peer, GossipMessage::Ping { seq: 1 }));
        ping_to(membership.tick(300), None).expect("a probe was sent")
    };
    assert_ne!(first_probe(0x1234_5678_9abc_def0), first_probe(0x0fed_cba9_8765_4321));
}

/// A node whose wall clock was stepped back between two starts begins with a lower incarnation than other nodes know.
#[test]
fn a_node_that_restarts_with_a_lower_incarnation_is_alive_again_within_three_messages() {
    for known in [MemberStatus::Dead, MemberStatus::Alive] {
        let third = node("n3", "third", 1);
        let mut other = GossipMembership::new(node("n1", "here", 1), vec![], 7, 0);
        other.handle_message(0, envelope(&node("n2", "old", 100), GossipMessage::Ping { seq: 1 }));
        let record = MemberRecord { status: known, ..node("n2", "old", 100) };
        let message = GossipMessage::Pong { seq: 0 };
        other.handle_message(0, GossipEnvelope { from: third.clone(), records: vec![record], message });
        // These messages use up the transmissions of all recent changes.
        for seq in 0..20 {
            other.handle_message(0, envelope(&third, GossipMessage::Ping { seq }));
        }
        let mut restarted = GossipMembership::new(node("n2", "new", 50), vec!["here".into()], 8, 0);
        let mut now = 0;
        for _ in 0..3 {
            now += 300;
            for action in
                other.handle_message(now, envelope(&restarted.local, GossipMessage::Ping { seq: 1 }))
            {
                if let GossipAction::Send(to, sent) = action
                    && to == "new"
                {
                    restarted.handle_message(now, sent);
                }
            }
        }
        assert_eq!(status_of(&other, "n2"), Some(MemberStatus::Alive), "{known:?}");
        assert_eq!(other.addr("n2").as_deref(), Some("new"), "{known:?}");
    }
}
