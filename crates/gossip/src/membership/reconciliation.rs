//! Anti-entropy of the member records: two members compare digests and send each other what lies in the ranges that
//! differ.
//!
//! Dissemination alone leaves out some member by chance, and the more there are the likelier. Nodes that do not know the
//! same live members disagree on who owns a key.
use super::state::GossipMembership;
use crate::messages::{GossipMessage, MemberRecord, MemberStatus};
use quincehatch_core::{Name, hash64, mix64};

/// Ranges of names, each with a digest of its own.
const RANGES: usize = 16;
/// Records in one message at most.
const MAX_RECORDS_PER_MESSAGE: usize = 64;

/// The digest of the live members in each range.
type RangeDigests = Vec<u64>;

fn range_of(name: &Name) -> usize {
    hash64(&[name.as_bytes()]) as usize % RANGES
}

/// A suspect counts as live: whether it is one differs between nodes for a moment and is disseminated anyway.
fn digest_of(record: &MemberRecord) -> u64 {
    mix64(hash64(&[record.name.as_bytes()]) ^ mix64(record.incarnation))
}

impl GossipMembership {
    /// Compares member records with one live member, chosen at random.
    pub(super) fn compare_members(&mut self) {
        let alive = self.names_with_status(|status| status == MemberStatus::Alive);
        let Some(addr) = self.rng.pick(&alive).cloned().and_then(|name| self.addr(&name)) else { return };
        let digests = self.range_digests();
        self.send(&addr, GossipMessage::CompareMembers { digests });
    }

    /// Sends the records of the ranges that differ, and asks for the sender's.
    pub(super) fn answer_comparison(&mut self, to: &Name, digests: &[u64]) {
        if self.send_differing_ranges(to, digests) {
            let digests = self.range_digests();
            self.send(to, GossipMessage::ComparedMembers { digests });
        }
    }

    /// Sends the records of the ranges that differ; returns whether any does.
    pub(super) fn send_differing_ranges(&mut self, to: &Name, digests: &[u64]) -> bool {
        let own = self.range_digests();
        let differs = |range: usize| digests.get(range) != own.get(range);
        if !(0..RANGES).any(differs) {
            return false;
        }
        let members = self.members.values().map(|member| &member.record);
        let records: Vec<MemberRecord> =
            members.filter(|record| differs(range_of(&record.name))).cloned().collect();
        for part in records.chunks(MAX_RECORDS_PER_MESSAGE) {
            self.send_only(to, part.to_vec());
        }
        true
    }

    fn range_digests(&self) -> RangeDigests {
        let mut digests = vec![0; RANGES];
        let others = self.members.values().map(|member| &member.record);
        for record in others.filter(|record| record.status.is_live()).chain([&self.local]) {
            digests[range_of(&record.name)] ^= digest_of(record);
        }
        digests
    }
}
