//! Anti-entropy of the member records: two members compare digests of ranges of names and send each other the records
//! of the ranges that differ.
//!
//! Dissemination is random and may miss some nodes, with a probability that grows with their number. Nodes that know
//! different live members disagree on the owners of keys.
use super::state::GossipMembership;
use crate::messages::{GossipMessage, MemberRecord, MemberStatus};
use quincehatch_core::{Name, hash64, mix64};

/// The number of ranges into which names are divided, each with its own digest.
const RANGES: usize = 16;
/// The maximum number of records in one message.
const MAX_RECORDS_PER_MESSAGE: usize = 64;

/// The digest of the live members in each range.
type RangeDigests = Vec<u64>;

fn range_of(name: &Name) -> usize {
    hash64(&[name.as_bytes()]) as usize % RANGES
}

/// Returns the digest of a record, which excludes the status. Whether a live member is a suspect may differ between
/// nodes for a moment and is disseminated anyway.
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

    /// Answers a comparison: sends the records of the ranges that differ, and requests the sender's records of these.
    pub(super) fn answer_comparison(&mut self, to: &Name, digests: &[u64]) {
        if self.send_differing_ranges(to, digests) {
            let digests = self.range_digests();
            self.send(to, GossipMessage::ComparedMembers { digests });
        }
    }

    /// Sends the records of the ranges that differ. Returns whether any range differs.
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
            self.send_selected_records(to, part.to_vec());
        }
        true
    }

    fn range_digests(&self) -> RangeDigests {
        let mut digests = vec![0; RANGES];
        let peers = self.members.values().map(|member| &member.record);
        for record in peers.filter(|record| record.status.is_live()).chain([&self.local]) {
            digests[range_of(&record.name)] ^= digest_of(record);
        }
        digests
    }
}
