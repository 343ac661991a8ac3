//! The partial view: a few members chosen at random, refreshed by exchanging halves of the view with other nodes.
use super::records::RecordSource;
use super::state::{GossipMembership, VIEW_SIZE};
use crate::messages::{GossipMessage, MemberRecord, MemberStatus};
use quincehatch_core::{Millis, Name};

/// The share of exchanges that go to a seed, in thousandths. Two halves of a cluster that lost contact meet at the
/// seeds.
const SEED_SHUFFLE_PER_MILLE: u64 = 150;

impl GossipMembership {
    /// Starts an exchange with a random member of the view, or with a seed.
    pub(super) fn shuffle(&mut self) {
        let alive = self.names_with_status(|status| status == MemberStatus::Alive);
        if self.view.len() < VIEW_SIZE
            && let Some(name) = self.rng.pick(&alive).cloned()
        {
            self.add_to_view(name);
        }
        let member = self.rng.pick(&self.view).cloned();
        let mut target = member.and_then(|name| self.addr(&name));
        if self.rng.chance(SEED_SHUFFLE_PER_MILLE) {
            target = self.rng.pick(&self.seeds).cloned().or(target);
        }
        if let Some(addr) = target {
            let peers = self.half_of_view();
            self.send(&addr, GossipMessage::Shuffle { peers });
        }
    }

    /// Answers an exchange that another node started, and merges the other node's half.
    pub(super) fn answer_shuffle(&mut self, now: Millis, to: &Name, peers: Vec<MemberRecord>) {
        let half = self.half_of_view();
        self.send(to, GossipMessage::Shuffled { peers: half });
        self.merge_view(now, peers);
    }

    fn half_of_view(&mut self) -> Vec<MemberRecord> {
        self.rng.shuffle(&mut self.view);
        let half = self.view.iter().take(VIEW_SIZE / 2);
        let members = half.filter_map(|name| self.members.get(name));
        members.map(|member| member.record.clone()).collect()
    }

    /// Merges the other node's half into the view.
    pub(super) fn merge_view(&mut self, now: Millis, peers: Vec<MemberRecord>) {
        for record in peers {
            let name = record.name.clone();
            self.merge_record(now, record, RecordSource::Relayed);
            self.add_to_view(name);
        }
    }

    /// Adds a member if it is alive. It replaces a random one if the view is full.
    fn add_to_view(&mut self, name: Name) {
        let alive = self.members.get(&name).is_some_and(|member| member.record.status == MemberStatus::Alive);
        if !alive || self.view.contains(&name) {
            return;
        }
        if self.view.len() >= VIEW_SIZE {
            let index = self.rng.below(VIEW_SIZE as u64) as usize;
            self.view.swap_remove(index);
        }
        self.view.push(name);
    }

    /// Removes members that no longer count as live.
    pub(super) fn prune_view(&mut self) {
        let members = &self.members;
        self.view.retain(|name| members.get(name).is_some_and(|member| member.record.status.is_live()));
    }
}
