//! Which server of a direct group may be promoted.
//!
//! With `sync_replicas = n` a commit is acknowledged once the primary and `n` of its replicas have it, and the logs of
//! one term are prefixes of the primary's. A suspended log (its replica suspended, the old primary demoted) receives
//! nothing more. So a log holds everything that was or ever will be acknowledged if one of these is true:
//! - all but `n - 1` of the replicas that may hold commits are suspended, and it reaches the highest of these: whatever
//!   was acknowledged is on `n` of them, so on one that was looked at; what is not can no longer be acknowledged;
//! - the old primary itself is suspended, and it reaches the old primary's end;
//! - every node that may have passed on an acknowledgement reported the end of what it passed on, and it reaches the
//!   highest of these; nodes pass on none once the closed assignment is in force.
//!
//! Otherwise nobody is promoted. Without sync replicas nothing is known of any log but the old primary's own: the
//! highest that can be had is taken after a while.
use quincehatch_core::{FencingToken, Name, Position};
use quincehatch_runtime::seam::injected_bug;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// How the commits of a direct group are replicated, and which servers may hold them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SyncGroup {
    /// Replicas that a commit waits for.
    pub sync_replicas: u64,
    /// Servers beside the old primary that may have received acknowledged commits, known to this node or not.
    pub holders: Vec<Name>,
    /// Servers that are draining: promoted only where no other may be.
    pub draining: Vec<Name>,
    /// The fencing token of the primary under which the nodes' acknowledged ends were last gathered.
    pub gathered_under: Option<FencingToken>,
}

/// A server that may be promoted.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The server's name.
    pub server: Name,
    /// Where its log ends.
    pub end: Position,
}

/// What is known at the time of choosing.
#[derive(Clone, Debug)]
pub struct CandidateSelection<'a> {
    /// The group.
    pub group: &'a SyncGroup,
    /// The ends of suspended logs, the old primary's too if it is suspended.
    pub suspended: &'a BTreeMap<Name, Position>,
    /// The old primary, if there was one.
    pub old_primary: Option<&'a Name>,
    /// The end of what nodes passed on as acknowledged; none unless every one of them reported it.
    pub acknowledged_end: Option<Position>,
    /// Servers that do not answer were waited for long enough.
    pub waited: bool,
}

impl CandidateSelection<'_> {
    /// The lowest log end that is known to hold everything acknowledged; none if none is known to.
    pub fn required_end(&self) -> Option<Position> {
        if injected_bug("sync-any") {
            return Some(Position::default());
        }
        let by_old_primary = self.old_primary.and_then(|name| self.suspended.get(name)).copied();
        let by_replicas = if self.group.sync_replicas == 0 {
            self.highest_end_after_waiting()
        } else {
            self.highest_end_among_enough_holders()
        };
        [by_old_primary, self.acknowledged_end, by_replicas].into_iter().flatten().min()
    }

    /// Without sync replicas no number of replicas proves anything: the highest log is taken after a while.
    fn highest_end_after_waiting(&self) -> Option<Position> {
        if !self.waited {
            return None;
        }
        self.suspended.values().max().copied()
    }

    /// Fewer than `sync_replicas` holders may be missing: every acknowledged commit is on one that was looked at.
    fn highest_end_among_enough_holders(&self) -> Option<Position> {
        let holders = &self.group.holders;
        let missing = holders.iter().filter(|holder| !self.suspended.contains_key(*holder)).count() as u64;
        if missing >= self.group.sync_replicas {
            return None;
        }
        holders.iter().filter_map(|holder| self.suspended.get(holder)).max().copied()
    }

    /// The server to promote, of those that hold everything acknowledged; none while no server is known to.
    pub fn choose(&self, preferred: Option<&Name>) -> Option<Candidate> {
        let required = self.required_end()?;
        let eligible = self.suspended.iter().filter(|(_, end)| **end >= required);
        let candidates = eligible.map(|(server, end)| Candidate { server: server.clone(), end: *end });
        candidates.max_by(|a, b| self.compare(a, b, preferred))
    }

    /// One that stays ranks above one that is draining, then the preferred one, then one that is not the old primary
    /// (which failed or is to be relieved), then the higher log, then the lower name.
    fn compare(&self, a: &Candidate, b: &Candidate, preferred: Option<&Name>) -> Ordering {
        let rank = |candidate: &Candidate| {
            let stays = !self.group.draining.contains(&candidate.server);
            let is_preferred = preferred == Some(&candidate.server);
            let is_other = self.old_primary != Some(&candidate.server);
            (stays, is_preferred, is_other, candidate.end)
        };
        rank(a).cmp(&rank(b)).then_with(|| b.server.cmp(&a.server))
    }
}
