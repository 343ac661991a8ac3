//! Selection of the server to promote, in pooled and in direct groups.
use super::{Phase, Promotion};
use crate::direct::candidate::{CandidateSelection, SyncGroup};
use quincehatch_core::{Millis, Name, Position};
use quincehatch_runtime::seam::injected_bug;

/// In a pooled group the old primary becomes eligible only after too few other servers were fenced within this time.
const OLD_PRIMARY_DELAY: Millis = 1_000;
/// In a direct group without sync replicas the highest log is chosen after this delay.
const HIGHEST_LOG_DELAY: Millis = 1_500;
/// In a direct group the old primary or a draining server is chosen only after this delay, as a better server may
/// answer.
const BETTER_CANDIDATE_DELAY: Millis = 800;
/// A replica that nobody has heard of yet may be listed within this time, when the listed ones may lack acknowledged
/// commits.
const UNLISTED_REPLICA_DELAY: Millis = 800;

/// A fenced server and the end of its log.
type FencedServer<'a> = (&'a Name, &'a Position);

impl Promotion {
    /// Chooses a server if the servers fenced so far suffice, and enters the next phase.
    pub(super) fn choose_candidate(&mut self, now: Millis) {
        match self.plan.sync_group.clone() {
            Some(group) => self.choose_direct(now, &group),
            None => self.choose_pooled(now),
        }
    }

    fn choose_direct(&mut self, now: Millis, group: &SyncGroup) {
        let selection = CandidateSelection {
            group,
            suspended: &self.fenced,
            old_primary: self.plan.old_primary.as_ref(),
            acknowledged_end: self.acknowledged_end,
            acknowledged_at_least: self.required_of_listed_replicas(now),
            trust_listed_replicas: self.trusts_listed_replicas(now),
            delay_elapsed: now >= self.phase_started_at + HIGHEST_LOG_DELAY,
        };
        let Some(candidate) = selection.choose(self.plan.preferred.as_ref()) else { return };
        let is_old_primary = self.plan.old_primary.as_ref() == Some(&candidate.server);
        let is_last_resort = is_old_primary || group.draining.contains(&candidate.server);
        let is_better_expected = now < self.phase_started_at + BETTER_CANDIDATE_DELAY
            && (self.fenced.len() < self.plan.servers.len() || self.awaits_proof(&selection));
        if is_last_resort && is_better_expected {
            return;
        }
        let (end, suspended) = (candidate.end, self.fenced.len());
        self.log(&format!(
            "chose {} at {}.{}, {suspended} logs are suspended",
            candidate.server, end.fence, end.number
        ));
        self.chosen = Some(candidate.server);
        self.enter(now, Phase::Promoting);
    }

    /// Whether a log that the old primary's exceeds may still be proven complete: neither the nodes' acknowledgements nor
    /// the listed replicas count yet.
    fn awaits_proof(&self, selection: &CandidateSelection) -> bool {
        selection.acknowledged_end.is_none() && !selection.trust_listed_replicas
    }

    /// Returns the position that a log must reach to be proven complete by the listed replicas. Acknowledged commits are
    /// between the two positions that nodes report. While a server that holds all of them may still be heard of, the log
    /// must reach the upper one; the old primary may alone have reached it, with commits that it never confirmed.
    fn required_of_listed_replicas(&self, now: Millis) -> Position {
        let at_least = self.acknowledged_at_least.unwrap_or_default();
        let planned_delay = if self.plan.planned { BETTER_CANDIDATE_DELAY } else { 0 };
        let is_lower_enough = now >= self.phase_started_at + planned_delay + UNLISTED_REPLICA_DELAY;
        if is_lower_enough { at_least } else { at_least.max(self.reported_end) }
    }

    /// Whether the known replicas are taken for all that may have confirmed commits: once they were listed and the nodes
    /// were asked after the close. In a planned promotion the old primary still works, and a better proof is waited for.
    fn trusts_listed_replicas(&self, now: Millis) -> bool {
        let is_proof_due = self.plan.planned && now < self.phase_started_at + BETTER_CANDIDATE_DELAY;
        self.servers_listed && self.acknowledged_at_least.is_some() && !is_proof_due
    }

    /// Chooses a server with the highest log among all but one of the servers of every voter set. That log holds every
    /// acknowledged commit, as each commit is on two servers of one set. The old primary failed or is being handed
    /// over, and its log may be the longest, so it is chosen only if too few other servers are fenced.
    fn choose_pooled(&mut self, now: Millis) {
        let Some(best) = self.highest_logs(now) else { return };
        let preferred = self.plan.preferred.clone().filter(|name| best.servers.contains(name));
        self.chosen = preferred.or_else(|| best.servers.first().cloned());
        let server = self.chosen.clone().unwrap_or_default();
        let (end, fenced) = (best.end, self.fenced.len());
        self.log(&format!("chose {server} at {}.{} of {fenced} fenced", end.fence, end.number));
        // The server must not get voters that the store has not recorded: another promotion would not fence them.
        let recorded = self.voter_sets.last() == Some(&self.next_voters()) || injected_bug("unlisted");
        self.enter(now, if recorded { Phase::Promoting } else { Phase::Listing });
    }

    /// Returns the highest log end among the eligible servers and the servers that have it, or `None` while too few
    /// servers are fenced.
    fn highest_logs(&self, now: Millis) -> Option<HighestLogs> {
        let eligible = self.eligible_servers(now)?;
        let ends = eligible.iter().map(|(_, end)| **end);
        let end = if injected_bug("short-log") { ends.min() } else { ends.max() }.unwrap_or_default();
        let at_end = eligible.iter().filter(|(_, other)| **other == end);
        Some(HighestLogs { end, servers: at_end.map(|(name, _)| (*name).clone()).collect() })
    }

    /// Returns the fenced voters to choose from, or `None` while too few of them are fenced.
    fn eligible_servers(&self, now: Millis) -> Option<Vec<FencedServer<'_>>> {
        let voters: Vec<_> = self.fenced.iter().filter(|(name, _)| self.is_voter(name)).collect();
        let keeps_old_primary = self.plan.preferred.is_some() && self.plan.preferred == self.plan.old_primary;
        let is_old_primary = |name: &Name| Some(name) == self.plan.old_primary.as_ref();
        let others: Vec<_> =
            voters.iter().copied().filter(|(name, _)| keeps_old_primary || !is_old_primary(name)).collect();
        if self.is_enough(&others) {
            return Some(others);
        }
        let waited = now >= self.phase_started_at + OLD_PRIMARY_DELAY && !self.plan.planned;
        if waited && self.is_enough(&voters) { Some(voters) } else { None }
    }

    /// Whether the server is in one of the voter sets. Acknowledged commits are on voters; other servers may lack them.
    fn is_voter(&self, server: &Name) -> bool {
        self.voter_sets.is_empty() || self.voter_sets.iter().any(|voters| voters.contains(server))
    }

    /// Whether these servers together hold every acknowledged commit. They must be all but one of each voter set or,
    /// before the first assignment, a majority of the group.
    fn is_enough(&self, servers: &[FencedServer<'_>]) -> bool {
        if self.voter_sets.is_empty() {
            return servers.len() * 2 > self.plan.server_count;
        }
        let is_missing = |voter: &Name| !servers.iter().any(|(name, _)| *name == voter);
        let all_but_one = |voters: &Vec<Name>| voters.iter().filter(|voter| is_missing(voter)).count() <= 1;
        !servers.is_empty() && self.voter_sets.iter().all(all_but_one)
    }
}

/// The servers with the highest log end.
struct HighestLogs {
    end: Position,
    servers: Vec<Name>,
}
