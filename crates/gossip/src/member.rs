//! Partial views, shuffled; liveness by direct and indirect asking, suspicion with refutation (§6.1, §6.2).
//! Sans-IO.
use crate::messages::{GossipEnvelope, GossipMessage, MemberRecord, MemberStatus};
use crate::probe::Relay;
use quincehatch_core::{Millis, Name, ServerHeartbeat};
use quincehatch_runtime::rng::Rng;
use std::collections::BTreeMap;

/// Nodes remembered at most.
const NODES: usize = 1_024;
/// Peers in a partial view.
pub const VIEW: usize = 6;
const PROBE: Millis = 250;
pub(crate) const INDIRECT_WITHIN: Millis = 350;
const SHUFFLE: Millis = 1_000;
const BEATS: Millis = 200;
/// How often a rumor is passed on, and how many ride on one letter.
const TOLD: u32 = 6;
const RIDERS: usize = 12;
/// The number of a ping whose answer is not waited for.
pub(crate) const NO_PROBE: u64 = 0;

#[derive(Clone, Debug)]
pub(crate) struct Known {
    pub r: MemberRecord,
    pub since: Millis,
    pub told: u32,
}

#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub target: Name,
    pub until: Millis,
    pub indirect: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum GossipAction {
    Send(Name, GossipEnvelope),
    /// Beats that came over the mesh.
    Heartbeats(Vec<ServerHeartbeat>),
    StatusChanged(Name, MemberStatus),
}

pub struct GossipMembership {
    pub me: MemberRecord,
    pub(crate) rng: Rng,
    pub(crate) known: BTreeMap<Name, Known>,
    pub(crate) view: Vec<Name>,
    pub(crate) seeds: Vec<Name>,
    pub(crate) probes: BTreeMap<u64, Probe>,
    /// Asked on behalf of others, by my number.
    pub(crate) relays: BTreeMap<u64, Relay>,
    pub(crate) seq: u64,
    next: [Millis; 3],
    pub(crate) news: BTreeMap<Name, (ServerHeartbeat, u32)>,
    pub(crate) out: Vec<GossipAction>,
    pub messages_sent: u64,
}

impl GossipMembership {
    pub fn new(me: MemberRecord, seeds: Vec<Name>, seed: u64, now: Millis) -> Self {
        let seeds = seeds.into_iter().filter(|s| *s != me.addr).collect();
        let rng = Rng::new(seed);
        Self {
            me,
            rng,
            known: BTreeMap::new(),
            view: Vec::new(),
            seeds,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            // An answer to a probe of an earlier life answers none of this one.
            seq: seed >> 1,
            next: [now; 3],
            news: BTreeMap::new(),
            out: Vec::new(),
            messages_sent: 0,
        }
    }

    /// The settings name other seeds now.
    pub fn set_seeds(&mut self, seeds: Vec<Name>) {
        self.seeds = seeds.into_iter().filter(|s| *s != self.me.addr).collect();
    }

    /// Nodes held to be alive, this one too, with their districts. A suspect still counts (§6.2).
    pub fn live(&self) -> Vec<(Name, Name)> {
        let others = self.known.values().filter(|k| k.r.status <= MemberStatus::Suspect);
        let mut v: Vec<_> = others.map(|k| (k.r.name.clone(), k.r.zone.clone())).collect();
        v.push((self.me.name.clone(), self.me.zone.clone()));
        v.sort();
        v
    }
    pub fn member_records(&self) -> Vec<MemberRecord> {
        self.known.values().map(|k| k.r.clone()).collect()
    }
    pub fn addr(&self, name: &str) -> Option<Name> {
        if self.me.name == name {
            return Some(self.me.addr.clone());
        }
        self.known.get(name).map(|k| k.r.addr.clone())
    }
    pub fn view(&self) -> &[Name] {
        &self.view
    }

    pub(crate) fn letter(&mut self, to: &Name, m: GossipMessage) {
        let mut fresh: Vec<_> = self.known.values_mut().filter(|k| k.told < TOLD).collect();
        fresh.sort_by_key(|k| k.told);
        let rumors = fresh
            .into_iter()
            .take(RIDERS)
            .map(|k| {
                k.told += 1;
                k.r.clone()
            })
            .collect();
        self.messages_sent += 1;
        self.out.push(GossipAction::Send(
            to.clone(),
            GossipEnvelope { from: self.me.clone(), records: rumors, message: m },
        ));
    }

    /// A beat learned here is spread on.
    pub fn spread_heartbeat(&mut self, b: ServerHeartbeat) {
        let newer = self.news.get(&b.server).is_none_or(|(o, _)| o.version() < b.version());
        if newer {
            self.news.insert(b.server.clone(), (b, 0));
        }
    }

    pub fn handle_message(&mut self, now: Millis, l: GossipEnvelope) -> Vec<GossipAction> {
        let from = l.from.clone();
        self.hear(now, l.from, true);
        l.records.into_iter().for_each(|r| self.hear(now, r, false));
        match l.message {
            GossipMessage::Ping { seq } => self.letter(&from.addr, GossipMessage::Pong { seq }),
            GossipMessage::Pong { seq } => self.pong(&from, seq),
            GossipMessage::PingFor { seq, target, addr } => {
                self.seq += 1;
                let mine = self.seq;
                let until = now + INDIRECT_WITHIN;
                self.relays.insert(mine, Relay { target, asker_addr: from.addr, asker_seq: seq, until });
                self.letter(&addr, GossipMessage::Ping { seq: mine });
            }
            GossipMessage::Shuffle { peers } => {
                let mine = self.half();
                self.letter(&from.addr, GossipMessage::Shuffled { peers: mine });
                self.swap_in(now, peers);
            }
            GossipMessage::Shuffled { peers } => self.swap_in(now, peers),
            GossipMessage::Heartbeats { heartbeats } => self.out.push(GossipAction::Heartbeats(heartbeats)),
        }
        std::mem::take(&mut self.out)
    }

    /// A node that speaks is alive whatever is said of it; a rumor about me that is grave is refuted.
    fn hear(&mut self, now: Millis, r: MemberRecord, itself: bool) {
        if r.name == self.me.name {
            // Also of an earlier life that began by a wall clock since stepped back.
            let outranked = r.incarnation > self.me.incarnation
                || (r.status != MemberStatus::Alive && r.incarnation == self.me.incarnation);
            if outranked && self.me.status == MemberStatus::Alive {
                self.me.incarnation = r.incarnation + 1;
            }
            return;
        }
        let k = self.known.get_mut(&r.name);
        let newer = k.as_ref().is_none_or(|k| (r.incarnation, r.status) > (k.r.incarnation, k.r.status));
        if !newer {
            // Its own word clears a suspicion of the same incarnation only by a higher one, but a probe that
            // is answered need not wait for it.
            if let Some(k) = k.filter(|_| itself) {
                if k.r.status == MemberStatus::Suspect && r.incarnation == k.r.incarnation {
                    k.r.status = MemberStatus::Alive;
                    k.since = now;
                }
                // It does not know what outranks it: the next letter tells it.
                if r.incarnation < k.r.incarnation {
                    k.told = 0;
                }
            }
            return;
        }
        if k.is_none() && self.known.len() >= NODES {
            return;
        }
        let k = self.known.get(&r.name);
        let life = r.status;
        let name = r.name.clone();
        let turned = k.is_none_or(|k| k.r.status != life);
        self.known.insert(name.clone(), Known { r, since: now, told: 0 });
        if turned {
            self.out.push(GossipAction::StatusChanged(name, life));
        }
    }

    pub(crate) fn half(&mut self) -> Vec<MemberRecord> {
        self.rng.shuffle(&mut self.view);
        let half = self.view.iter().take(VIEW / 2);
        half.filter_map(|n| self.known.get(n)).map(|k| k.r.clone()).collect()
    }

    fn swap_in(&mut self, now: Millis, peers: Vec<MemberRecord>) {
        for p in peers {
            let name = p.name.clone();
            self.hear(now, p, false);
            self.add_view(name);
        }
    }

    pub(crate) fn add_view(&mut self, name: Name) {
        let alive = self.known.get(&name).is_some_and(|k| k.r.status == MemberStatus::Alive);
        if !alive || self.view.contains(&name) {
            return;
        }
        if self.view.len() >= VIEW {
            let i = self.rng.below(VIEW as u64) as usize;
            self.view.swap_remove(i);
        }
        self.view.push(name);
    }

    pub fn tick(&mut self, now: Millis) -> Vec<GossipAction> {
        self.expire(now);
        if now >= self.next[0] {
            self.next[0] = now + PROBE;
            self.probe(now);
        }
        if now >= self.next[1] {
            self.next[1] = now + SHUFFLE;
            self.shuffle();
            self.ping_dead();
        }
        if now >= self.next[2] {
            self.next[2] = now + BEATS;
            self.pass_beats();
        }
        std::mem::take(&mut self.out)
    }

    /// Says farewell, so that others need not find out.
    pub fn leave(&mut self) -> Vec<GossipAction> {
        self.me.status = MemberStatus::Left;
        let all: Vec<Name> = self.known.values().map(|k| k.r.addr.clone()).collect();
        for a in all {
            self.letter(&a, GossipMessage::Ping { seq: NO_PROBE });
        }
        std::mem::take(&mut self.out)
    }
}
