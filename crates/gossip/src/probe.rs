//! Asking, suspecting, burying, shuffling, and passing beats on: what the mesh does as time passes (§6.2).
use crate::member::{GossipAction, GossipMembership, INDIRECT_WITHIN, NO_PROBE, Probe, VIEW};
use crate::messages::{GossipEnvelope, GossipMessage, MemberRecord, MemberStatus};
use quincehatch_core::{Millis, Name, ServerHeartbeat};

const PONG_WITHIN: Millis = 250;
const SUSPECT_FOR: Millis = 1_200;
/// A dead node is remembered this long, so that old rumors do not revive it.
const BURIED: Millis = 60_000;

/// A probe for another node.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    pub target: Name,
    pub asker_addr: Name,
    pub asker_seq: u64,
    pub until: Millis,
}

impl GossipMembership {
    pub(crate) fn probe(&mut self, now: Millis) {
        let all: Vec<Name> = self
            .known
            .values()
            .filter(|k| k.r.status <= MemberStatus::Suspect)
            .map(|k| k.r.name.clone())
            .collect();
        let Some(target) = self.rng.pick(&all).cloned() else {
            for s in self.seeds.clone() {
                self.seq += 1;
                let seq = self.seq;
                self.letter(&s, GossipMessage::Ping { seq });
            }
            return;
        };
        self.seq += 1;
        let seq = self.seq;
        let addr = self.known[&target].r.addr.clone();
        self.probes.insert(seq, Probe { target, until: now + PONG_WITHIN, indirect: false });
        self.letter(&addr, GossipMessage::Ping { seq });
    }

    /// An answer counts for the node that was asked, not for another that has its address by now.
    pub(crate) fn pong(&mut self, from: &MemberRecord, seq: u64) {
        if let Some(relay) = self.relays.get(&seq).filter(|relay| relay.target == from.name).cloned() {
            self.relays.remove(&seq);
            self.letter(&relay.asker_addr, GossipMessage::Pong { seq: relay.asker_seq });
        }
        let Some(probe) = self.probes.get(&seq) else { return };
        // One that was asked through others comes from a helper, elsewhere than the target.
        let helped = probe.indirect && self.addr(&probe.target).is_none_or(|addr| addr != from.addr);
        if probe.target == from.name || helped {
            self.probes.remove(&seq);
        }
    }

    pub(crate) fn expire(&mut self, now: Millis) {
        self.relays.retain(|_, relay| relay.until > now);
        let due: Vec<u64> = self.probes.iter().filter(|(_, p)| p.until <= now).map(|(s, _)| *s).collect();
        for seq in due {
            let Some(p) = self.probes.remove(&seq) else { continue };
            if p.indirect {
                self.set_life(now, &p.target, MemberStatus::Suspect);
                continue;
            }
            let Some(addr) = self.addr(&p.target) else { continue };
            let mut helpers: Vec<Name> = self
                .known
                .values()
                .filter(|k| k.r.status == MemberStatus::Alive && k.r.name != p.target)
                .map(|k| k.r.addr.clone())
                .collect();
            self.rng.shuffle(&mut helpers);
            for h in helpers.into_iter().take(2) {
                let m = GossipMessage::PingFor { seq, target: p.target.clone(), addr: addr.clone() };
                self.letter(&h, m);
            }
            self.probes.insert(seq, Probe { until: now + INDIRECT_WITHIN, indirect: true, ..p });
        }
        let old: Vec<Name> = self
            .known
            .values()
            .filter(|k| k.r.status == MemberStatus::Suspect && now >= k.since + SUSPECT_FOR)
            .map(|k| k.r.name.clone())
            .collect();
        old.iter().for_each(|n| self.set_life(now, n, MemberStatus::Dead));
        self.known.retain(|_, k| k.r.status < MemberStatus::Dead || now < k.since + BURIED);
        let known = &self.known;
        self.view.retain(|n| known.get(n).is_some_and(|k| k.r.status <= MemberStatus::Suspect));
    }

    pub(crate) fn set_life(&mut self, now: Millis, name: &Name, life: MemberStatus) {
        if let Some(k) = self.known.get_mut(name).filter(|k| k.r.status < life) {
            k.r.status = life;
            k.since = now;
            k.told = 0;
            self.out.push(GossipAction::StatusChanged(name.clone(), life));
        }
    }

    pub(crate) fn shuffle(&mut self) {
        let alive: Vec<Name> = self
            .known
            .values()
            .filter(|k| k.r.status == MemberStatus::Alive)
            .map(|k| k.r.name.clone())
            .collect();
        if self.view.len() < VIEW
            && let Some(n) = self.rng.pick(&alive).cloned()
        {
            self.add_view(n);
        }
        let to = self.rng.pick(&self.view).cloned().and_then(|n| self.addr(&n));
        // Now and then a seed, so that two halves that lost each other find back together.
        let to = if self.rng.chance(150) { self.rng.pick(&self.seeds).cloned().or(to) } else { to };
        if let Some(addr) = to {
            let peers = self.half();
            self.letter(&addr, GossipMessage::Shuffle { peers });
        }
    }

    /// Two nodes that hold each other dead have no other reason to write to each other once a cut is over. One that is
    /// back refutes the rumor; one that left is not asked.
    pub(crate) fn ping_dead(&mut self) {
        let dead: Vec<MemberRecord> =
            self.known.values().filter(|k| k.r.status == MemberStatus::Dead).map(|k| k.r.clone()).collect();
        if let Some(rumor) = self.rng.pick(&dead).cloned() {
            self.ping_with(&rumor.addr.clone(), rumor);
        }
    }

    /// A ping to whom one rumor is told, and that awaits no answer.
    fn ping_with(&mut self, to: &Name, rumor: MemberRecord) {
        let m = GossipMessage::Ping { seq: NO_PROBE };
        self.messages_sent += 1;
        self.out.push(GossipAction::Send(
            to.clone(),
            GossipEnvelope { from: self.me.clone(), records: vec![rumor], message: m },
        ));
    }

    pub(crate) fn pass_beats(&mut self) {
        let mut fresh: Vec<_> = self.news.values_mut().filter(|(_, told)| *told < 3).collect();
        let beats: Vec<ServerHeartbeat> = fresh
            .iter_mut()
            .take(32)
            .map(|(b, told)| {
                *told += 1;
                b.clone()
            })
            .collect();
        if beats.is_empty() {
            return;
        }
        let mut view = self.view.clone();
        self.rng.shuffle(&mut view);
        for addr in view.into_iter().take(2).filter_map(|n| self.addr(&n)).collect::<Vec<_>>() {
            self.letter(&addr, GossipMessage::Heartbeats { heartbeats: beats.clone() });
        }
    }
}
