//! Failure detection: a member that answers neither a direct nor an indirect probe is suspected, and then considered
//! dead.
use super::state::{GossipMembership, Probe, Relay};
use crate::messages::{GossipMessage, MemberRecord, MemberStatus};
use quincehatch_core::{Millis, Name};

/// A direct probe that is not answered within this time is followed by indirect probes.
const PROBE_TIMEOUT: Millis = 250;
/// A member is suspected if its indirect probes are not answered within this time.
pub(super) const INDIRECT_PROBE_TIMEOUT: Millis = 350;
/// The number of members that are asked to probe a member that did not answer.
const INDIRECT_PROBE_FANOUT: usize = 2;
/// A suspect is considered dead if it does not refute the suspicion within this time.
const SUSPICION_TIMEOUT: Millis = 1_200;
/// The record of a dead member is retained for this long, so that stale records do not add the member again.
const DEAD_RETENTION: Millis = 60_000;

impl GossipMembership {
    /// Probes a random live member, or all seeds while no member is known.
    pub(super) fn probe(&mut self, now: Millis) {
        let live = self.names_with_status(MemberStatus::is_live);
        let Some(target) = self.rng.pick(&live).cloned() else {
            for addr in self.seeds.clone() {
                let seq = self.next_seq();
                self.send(&addr, GossipMessage::Ping { seq });
            }
            return;
        };
        let seq = self.next_seq();
        let addr = self.members[&target].record.addr.clone();
        self.probes.insert(seq, Probe { target, expires_at: now + PROBE_TIMEOUT, indirect: false });
        self.send(&addr, GossipMessage::Ping { seq });
    }

    /// Probes a member, which listens at `addr`, on behalf of another node.
    pub(super) fn probe_for(&mut self, addr: &Name, relay: Relay) {
        let seq = self.next_seq();
        self.relays.insert(seq, relay);
        self.send(addr, GossipMessage::Ping { seq });
    }

    /// Processes the answer to a probe. It counts only if it comes from the probed member, and not from another node
    /// that now has the member's address.
    pub(super) fn handle_pong(&mut self, from: &MemberRecord, seq: u64) {
        let relay = self.relays.get(&seq).filter(|relay| relay.target == from.name).cloned();
        if let Some(relay) = relay {
            self.relays.remove(&seq);
            self.send(&relay.requester_addr, GossipMessage::Pong { seq: relay.requester_seq });
        }
        let Some(probe) = self.probes.get(&seq) else { return };
        // The answer to an indirect probe comes from the relaying node, whose address differs from the target's.
        let relayed = probe.indirect && self.addr(&probe.target).is_none_or(|addr| addr != from.addr);
        if probe.target == from.name || relayed {
            self.probes.remove(&seq);
        }
    }

    /// Processes all timeouts that have expired.
    pub(super) fn process_timeouts(&mut self, now: Millis) {
        self.relays.retain(|_, relay| relay.expires_at > now);
        self.expire_probes(now);
        self.expire_suspicions(now);
        self.members.retain(|_, member| {
            member.record.status < MemberStatus::Dead || now < member.since + DEAD_RETENTION
        });
        self.prune_view();
    }

    fn expire_probes(&mut self, now: Millis) {
        let expired = self.probes.iter().filter(|(_, probe)| probe.expires_at <= now);
        let expired: Vec<u64> = expired.map(|(seq, _)| *seq).collect();
        for seq in expired {
            let Some(probe) = self.probes.remove(&seq) else { continue };
            if probe.indirect {
                self.worsen_status(now, &probe.target, MemberStatus::Suspect);
            } else {
                self.start_indirect_probe(now, seq, probe);
            }
        }
    }

    fn start_indirect_probe(&mut self, now: Millis, seq: u64, probe: Probe) {
        let Some(addr) = self.addr(&probe.target) else { return };
        let mut relay_addrs: Vec<Name> = self
            .members
            .values()
            .map(|member| &member.record)
            .filter(|record| record.status == MemberStatus::Alive && record.name != probe.target)
            .map(|record| record.addr.clone())
            .collect();
        self.rng.shuffle(&mut relay_addrs);
        relay_addrs.truncate(INDIRECT_PROBE_FANOUT);
        for relay_addr in relay_addrs {
            let target = probe.target.clone();
            self.send(&relay_addr, GossipMessage::PingFor { seq, target, addr: addr.clone() });
        }
        let expires_at = now + INDIRECT_PROBE_TIMEOUT;
        self.probes.insert(seq, Probe { target: probe.target, expires_at, indirect: true });
    }

    fn expire_suspicions(&mut self, now: Millis) {
        let expired: Vec<Name> = self
            .members
            .values()
            .filter(|member| member.record.status == MemberStatus::Suspect)
            .filter(|member| now >= member.since + SUSPICION_TIMEOUT)
            .map(|member| member.record.name.clone())
            .collect();
        for name in &expired {
            self.worsen_status(now, name, MemberStatus::Dead);
        }
    }
}
