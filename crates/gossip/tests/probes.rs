//! An answer to a probe counts for the node that was probed, in this life of the prober (§6.2).
use quincehatch_core::{Millis, Name};
use quincehatch_gossip::member::GossipAction;
use quincehatch_gossip::{GossipEnvelope, GossipMembership, GossipMessage, MemberRecord, MemberStatus};

fn node(name: &str, addr: &str, inc: u64) -> MemberRecord {
    MemberRecord {
        name: name.into(),
        addr: addr.into(),
        zone: "d".into(),
        incarnation: inc,
        status: MemberStatus::Alive,
    }
}

fn letter(from: &MemberRecord, m: GossipMessage) -> GossipEnvelope {
    GossipEnvelope { from: from.clone(), records: Vec::new(), message: m }
}

fn life_of(mesh: &GossipMembership, name: &str) -> Option<MemberStatus> {
    mesh.member_records().into_iter().find(|r| r.name == name).map(|r| r.status)
}

/// Answers each probe of `mesh` as `who` until `end`.
fn answered_by(mesh: &mut GossipMembership, who: &MemberRecord, end: Millis) {
    for now in (0..end).step_by(50) {
        for out in mesh.tick(now) {
            let GossipAction::Send(to, GossipEnvelope { message: GossipMessage::Ping { seq }, .. }) = out
            else {
                continue;
            };
            if to == who.addr {
                mesh.handle_message(now, letter(who, GossipMessage::Pong { seq }));
            }
        }
    }
}

#[test]
fn another_process_at_a_nodes_address_does_not_answer_for_it() {
    let (old, new) = (node("n2", "there", 1), node("n9", "there", 1));
    let mut mesh = GossipMembership::new(node("n1", "here", 1), vec![], 7, 0);
    mesh.handle_message(0, letter(&old, GossipMessage::Ping { seq: 1 }));
    answered_by(&mut mesh, &new, 6_000);
    assert_eq!(life_of(&mesh, "n2"), Some(MemberStatus::Dead));
    assert_eq!(life_of(&mesh, "n9"), Some(MemberStatus::Alive));
}

#[test]
fn a_node_that_answers_itself_stays_alive() {
    let peer = node("n2", "there", 1);
    let mut mesh = GossipMembership::new(node("n1", "here", 1), vec![], 7, 0);
    mesh.handle_message(0, letter(&peer, GossipMessage::Ping { seq: 1 }));
    answered_by(&mut mesh, &peer, 6_000);
    assert_eq!(life_of(&mesh, "n2"), Some(MemberStatus::Alive));
}

/// The helper passes on only the answer of the node that it was to ask.
#[test]
fn a_helper_passes_on_only_the_answer_of_the_node_it_was_to_ask() {
    let (asker, wrong, right) = (node("n2", "asker", 1), node("n9", "there", 1), node("n3", "there", 1));
    let mut helper = GossipMembership::new(node("n1", "here", 1), vec![], 7, 0);
    let ask = GossipMessage::PingFor { seq: 5, target: "n3".into(), addr: "there".into() };
    let outs = helper.handle_message(0, letter(&asker, ask));
    let sent = outs.into_iter().find_map(|out| match out {
        GossipAction::Send(to, GossipEnvelope { message: GossipMessage::Ping { seq }, .. })
            if to == "there" =>
        {
            Some(seq)
        }
        _ => None,
    });
    let seq = sent.expect("it asks");
    let pongs = |outs: Vec<GossipAction>| -> Vec<(Name, u64)> {
        let pong = |out| match out {
            GossipAction::Send(to, GossipEnvelope { message: GossipMessage::Pong { seq }, .. }) => {
                Some((to, seq))
            }
            _ => None,
        };
        outs.into_iter().filter_map(pong).collect()
    };
    assert_eq!(pongs(helper.handle_message(1, letter(&wrong, GossipMessage::Pong { seq }))), []);
    assert_eq!(
        pongs(helper.handle_message(2, letter(&right, GossipMessage::Pong { seq }))),
        [("asker".into(), 5)]
    );
}

#[test]
fn an_answer_to_a_probe_of_an_earlier_life_answers_none_of_this_one() {
    let peer = node("n2", "there", 1);
    let probed = |seed: u64| {
        let mut mesh = GossipMembership::new(node("n1", "here", 1), vec![], seed, 0);
        mesh.handle_message(0, letter(&peer, GossipMessage::Ping { seq: 1 }));
        let outs = mesh.tick(300);
        let seq = outs.into_iter().find_map(|out| match out {
            GossipAction::Send(_, GossipEnvelope { message: GossipMessage::Ping { seq }, .. }) => Some(seq),
            _ => None,
        });
        seq.expect("it probes")
    };
    assert_ne!(probed(0x1234_5678_9abc_def0), probed(0x0fed_cba9_8765_4321));
}

/// A node whose wall clock was stepped back between two starts begins with a lower incarnation than others remember.
#[test]
fn a_node_that_comes_back_with_a_lower_incarnation_is_alive_again_at_once() {
    for known in [MemberStatus::Dead, MemberStatus::Alive] {
        let mut other = GossipMembership::new(node("n1", "here", 1), vec![], 7, 0);
        other.handle_message(0, letter(&node("n2", "old", 100), GossipMessage::Ping { seq: 1 }));
        let rumor = MemberRecord { status: known, ..node("n2", "old", 100) };
        other.handle_message(
            0,
            GossipEnvelope {
                from: node("n3", "third", 1),
                records: vec![rumor],
                message: GossipMessage::Pong { seq: 0 },
            },
        );
        // All that is fresh has been told often enough by now.
        for seq in 0..20 {
            other.handle_message(0, letter(&node("n3", "third", 1), GossipMessage::Ping { seq }));
        }
        let mut back = GossipMembership::new(node("n2", "new", 50), vec!["here".into()], 8, 0);
        let mut now = 0;
        for _ in 0..3 {
            now += 300;
            let mut outs = other.handle_message(now, letter(&back.me, GossipMessage::Ping { seq: 1 }));
            for out in outs.drain(..) {
                if let GossipAction::Send(to, l) = out
                    && to == "new"
                {
                    back.handle_message(now, l);
                }
            }
        }
        assert_eq!(life_of(&other, "n2"), Some(MemberStatus::Alive), "{known:?}");
        assert_eq!(other.addr("n2").as_deref(), Some("new"), "{known:?}");
    }
}
