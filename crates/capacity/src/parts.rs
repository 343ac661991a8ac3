//! Parts of a node alone, at the planned size itself: one pass of each, without a fleet around it.
use super::{blueprint, cost, names, standing};
use quincehatch_core::{Name, PrimaryAssignment};
use quincehatch_gossip::{GossipMembership, MemberRecord, MemberStatus, ownership};
use quincehatch_proxy::registry::ClusterState;
use quincehatch_store::patch::PackedText;
use quincehatch_store::store::{MAX_ANSWERED_WRITES, promotion_duty_key};
use quincehatch_store::{Answer, Command, Entry, FeedSnapshot, FeedState, KeeperResponse, Reply, Store};
use quincehatch_wire::{ANSWER_HEADER_BYTES, LENGTH_BYTES};

fn rumor(i: usize) -> MemberRecord {
    let (name, addr) = (format!("n{i:04}").into(), format!("10.1.{}.{}:20000", i / 250, i % 250).into());
    MemberRecord {
        name,
        addr,
        zone: format!("d{}", i % 5).into(),
        incarnation: 1,
        status: MemberStatus::Alive,
    }
}

/// Who looks after each of `groups`, found once: milliseconds.
pub fn duty_pass(nodes: usize, groups: usize) -> f64 {
    let live = names(nodes);
    let keys: Vec<Name> = (0..groups).map(|g| promotion_duty_key(&format!("g{g:04}"))).collect();
    cost(|| keys.iter().filter(|k| ownership::owner(k, &live) == live.first()).count()).0
}

/// A second of a node's mesh that knows `nodes`, each letter answered: milliseconds and letters sent.
pub fn mesh_second(nodes: usize, seconds: u64) -> (f64, f64) {
    let mut m = GossipMembership::new(rumor(0), vec![rumor(1).addr], 7, 0);
    let peers: std::collections::BTreeMap<Name, MemberRecord> =
        (1..nodes).map(|i| (rumor(i).addr.clone(), rumor(i))).collect();
    for r in peers.values() {
        m.handle_message(
            0,
            quincehatch_gossip::GossipEnvelope {
                from: r.clone(),
                records: vec![],
                message: quincehatch_gossip::GossipMessage::Pong { seq: 0 },
            },
        );
    }
    let answer = |m: &mut GossipMembership, now: u64, outs: Vec<quincehatch_gossip::GossipAction>| {
        for o in outs {
            let quincehatch_gossip::GossipAction::Send(to, l) = o else { continue };
            let quincehatch_gossip::GossipMessage::Ping { seq } = l.message else { continue };
            if let Some(from) = peers.get(&to).cloned() {
                let m2 = quincehatch_gossip::GossipMessage::Pong { seq };
                m.handle_message(
                    now,
                    quincehatch_gossip::GossipEnvelope { from, records: vec![], message: m2 },
                );
            }
        }
    };
    for t in (0..3_000).step_by(50) {
        let outs = m.tick(t);
        answer(&mut m, t, outs);
    }
    let had = m.messages_sent;
    let (ms, _) = cost(|| {
        for t in (3_000..3_000 + seconds * 1_000).step_by(50) {
            let outs = m.tick(t);
            answer(&mut m, t, outs);
            // As each node's loop over duties asks it (§6.3).
            (t % 250 == 0).then(|| m.live());
        }
    });
    (ms / seconds as f64, (m.messages_sent - had) as f64 / seconds as f64)
}

/// A blueprint's text, and what it takes to read and check it: milliseconds and bytes.
pub fn read_blueprint(groups: usize) -> (f64, f64) {
    let text = blueprint(groups, 0);
    let (ms, got) = cost(|| quincehatch_config::configuration::Configuration::parse(&text));
    assert!(got.is_ok(), "{got:?}");
    (ms, text.len() as f64)
}

/// The store of a fleet in service: `adopted` configurations of `groups` databases, three servers each.
pub fn store(groups: usize, adopted: u64) -> Store {
    let mut s = Store::default();
    let mut put = |key: String, cmd: Command| {
        let n = s.last_change + 1;
        s.apply(&Entry { number: n, key: key.into(), command: cmd })
    };
    for i in 0..groups * super::COPIES {
        put(format!("beat/{i}/1"), Command::RegisterServer { at: standing(i, 1) });
    }
    for g in 0..groups {
        let (group, by) = (Name::from(format!("g{g:04}")), Name::from("n0001"));
        let at =
            put(format!("f{g}"), Command::AcquireFence { duty: promotion_duty_key(&group), by: by.clone() });
        let Some(Answer::Fence(fence)) = at else { continue };
        let counts = (0..3).map(|k| standing(g * 3 + k, 1).server).collect::<Vec<_>>();
        let server = counts.first().cloned();
        let lead = PrimaryAssignment { fence, server, assigned_by: by, voters: counts, ..Default::default() };
        put(format!("l{g}"), Command::AssignPrimary { group, primary: lead });
    }
    for n in 1..=adopted {
        let (text, source, by) = (blueprint(groups, n), blueprint(groups, n), "operator".into());
        put(format!("adopt/{n}/{:016x}", n), Command::AdoptDocument { number: n, text, source, by });
    }
    for n in 0..MAX_ANSWERED_WRITES as u64 {
        put(format!("beat/s0000-0/{}", n + 2), Command::RegisterServer { at: standing(0, n + 2) });
    }
    s
}

fn frame(rep: Reply) -> f64 {
    borsh::to_vec(&KeeperResponse::Reply { reply: rep })
        .map_or(0, |b| b.len() + LENGTH_BYTES + ANSWER_HEADER_BYTES) as f64
}

/// Bytes in a frame: the whole store; all that a node is told that begins; one adopted configuration of which a rule
/// changed, as a node is told it (§5.10).
pub fn bytes(groups: usize) -> [f64; 3] {
    let mut s = store(groups, 2);
    let text = PackedText::pack(s.configuration().map_or("", |k| &k.text));
    let told = Reply::Snapshot { snapshot: Box::new(FeedSnapshot::from_store(&s, text)), lease_ms: 4_000 };
    let whole = Reply::Store { store: Box::new(s.clone()) };
    let changes = vec![adopt(&mut s, groups, 9)];
    [frame(whole), frame(told), frame(Reply::Changes { changes, lease_ms: 4_000 })]
}

fn adopt(s: &mut Store, groups: usize, number: u64) -> quincehatch_store::Change {
    let (text, source, by) = (blueprint(groups, number), blueprint(groups, number), "operator".into());
    let e = Entry {
        number: s.last_change + 1,
        key: format!("adopt/{number}").into(),
        command: Command::AdoptDocument { number, text, source, by },
    };
    let news = s.apply_with_event(&e).map(|a| a.1);
    quincehatch_store::Change { number: e.number, event: news.expect("it is the next") }
}

/// What a node does with one change, in milliseconds: a configuration of which a rule changed, and a standing.
pub fn changed(groups: usize) -> [f64; 2] {
    let mut s = store(groups, 2);
    let text = PackedText::pack(s.configuration().map_or("", |k| &k.text));
    let mut k = FeedState::from_snapshot(FeedSnapshot::from_store(&s, text)).expect("what was packed");
    let had = quincehatch_node::feed::cluster_state_from(&k, &ClusterState::default());
    let c = adopt(&mut s, groups, 9);
    let (adopted, plan) = cost(|| {
        assert!(k.apply(&c));
        quincehatch_node::feed::cluster_state_from(&k, &had)
    });
    let news = quincehatch_store::FeedEvent::RegisterServer { at: standing(1, 9_999) };
    let c = quincehatch_store::Change { number: k.last_change + 1, event: news };
    let (stood, _) = cost(|| {
        assert!(k.apply(&c));
        quincehatch_node::feed::cluster_state_from(&k, &plan)
    });
    [adopted, stood]
}

/// Servers that a node's board takes of `n`, and a second of its judges over them in milliseconds (§4.5).
pub fn judges(n: usize) -> (f64, f64) {
    let rt = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let _in = rt.enter();
    let set = super::settings(0, "127.0.0.1:1".into(), vec![], vec!["127.0.0.1:1".into()]);
    let node = quincehatch_proxy::Proxy::new(
        set,
        Box::new(quincehatch_proxy::session::replicas::LocalOnlyReplicas::default()),
        quincehatch_runtime::seam::Spawner::current(),
    );
    for i in 0..n {
        let at = standing(i, 1);
        let labels = [("group".into(), at.group.clone()), ("district".into(), at.zone.clone())].into();
        let beat = quincehatch_core::ServerHeartbeat {
            server: at.server,
            addr: at.addr,
            seq: 1,
            labels,
            role: at.role,
            ..Default::default()
        };
        node.registry.apply_heartbeat(beat);
    }
    // Ten looks a second by the judges; the loop over duties looks at each server's verdict four times (§6.3).
    let (ms, _) = cost(|| (0..10).for_each(|_| quincehatch_proxy::probe::tick_health(&node.registry)));
    (node.registry.servers().len() as f64, ms)
}
