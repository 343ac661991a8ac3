//! Costs of a node's gossip membership.
use crate::cpu::timed;
use crate::samples::{node_name, node_zone};
use quincehatch_core::Name;
use quincehatch_gossip::{
    GossipAction, GossipEnvelope, GossipMembership, GossipMessage, MemberRecord, MemberStatus,
};
use std::collections::BTreeMap;

/// Number of hosts that are numbered with one byte of an address.
const HOSTS_PER_SUBNET: usize = 250;
const SEED: u64 = 7;
/// Interval of the driver's ticks, in milliseconds.
const TICK_MS: u64 = 50;
/// How often each node's loop over its singleton roles queries the live members, in milliseconds.
const LIVE_QUERY_MS: u64 = 250;
/// Warm-up time for the first probes and shuffles, which is not measured, in milliseconds.
const WARM_UP_MS: u64 = 3_000;

/// Costs of one second of gossip at one node.
#[derive(Clone, Copy, Debug)]
pub struct GossipCost {
    /// Processor time in milliseconds.
    pub cpu_ms: f64,
    /// Number of messages sent.
    pub messages: f64,
}

/// Measures a node that knows `nodes` and whose probes are all answered. Returns the mean costs of one of `seconds`.
pub fn gossip_second(nodes: usize, seconds: u64) -> GossipCost {
    let peers = (1..nodes).map(member_record).map(|record| (record.addr.clone(), record)).collect();
    let mut driver = AnsweredProbes { membership: join(&peers), peers };
    driver.run(0, WARM_UP_MS);
    let sent_before = driver.membership.messages_sent;
    let end = WARM_UP_MS + seconds * 1_000;
    let measured = timed(|| driver.run_with_queries(WARM_UP_MS, end));
    let sent = driver.membership.messages_sent - sent_before;
    GossipCost { cpu_ms: measured.cpu_ms / seconds as f64, messages: sent as f64 / seconds as f64 }
}

fn member_record(index: usize) -> MemberRecord {
    let subnet = index / HOSTS_PER_SUBNET;
    let host = index % HOSTS_PER_SUBNET;
    MemberRecord {
        name: node_name(index),
        addr: format!("10.1.{subnet}.{host}:20000").into(),
        zone: node_zone(index).into(),
        incarnation: 1,
        status: MemberStatus::Alive,
    }
}

/// Returns a membership that knows every peer.
fn join(peers: &BTreeMap<Name, MemberRecord>) -> GossipMembership {
    let mut membership = GossipMembership::new(member_record(0), vec![member_record(1).addr], SEED, 0);
    for peer in peers.values() {
        membership.handle_message(0, pong(peer.clone(), 0));
    }
    membership
}

fn pong(from: MemberRecord, seq: u64) -> GossipEnvelope {
    GossipEnvelope { from, records: vec![], message: GossipMessage::Pong { seq } }
}

/// A membership whose probes are answered immediately.
struct AnsweredProbes {
    membership: GossipMembership,
    /// All peers by address.
    peers: BTreeMap<Name, MemberRecord>,
}

impl AnsweredProbes {
    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for now in (from_ms..until_ms).step_by(TICK_MS as usize) {
            self.tick(now);
        }
    }

    fn run_with_queries(&mut self, from_ms: u64, until_ms: u64) {
        for now in (from_ms..until_ms).step_by(TICK_MS as usize) {
            self.tick(now);
            if now % LIVE_QUERY_MS == 0 {
                self.membership.live_members();
            }
        }
    }

    fn tick(&mut self, now: u64) {
        for action in self.membership.tick(now) {
            let GossipAction::Send(to, envelope) = action else { continue };
            let GossipMessage::Ping { seq } = envelope.message else { continue };
            if let Some(peer) = self.peers.get(&to).cloned() {
                self.membership.handle_message(now, pong(peer, seq));
            }
        }
    }
}
