//! The rule that decides which server of a direct group may be promoted.
//!
//! With `sync_replicas = n` a commit is acknowledged once the primary and `n` of its replicas have it, and each
//! replica's log of one term is a prefix of the primary's log. A suspended log (the replica is suspended, or the old
//! primary is demoted) receives no more entries. So a log holds every commit that was or ever will be acknowledged if
//! one of these conditions is true:
//! - The old primary itself is suspended, and the log reaches the old primary's end.
//! - Every node that may have forwarded an acknowledgement has reported the highest position that it acknowledged, and
//!   the log reaches the highest of these. Nodes forward no acknowledgements once the closed assignment is in force.
//! - All but `n - 1` of the replicas that may hold commits are suspended, and the log reaches the highest of their
//!   ends. An acknowledged commit is on `n` of these replicas, so at least one suspended log has it. A commit that no
//!   suspended log has can no longer be acknowledged.
//!
//! The last condition is true only if the known replicas are all that the primary has. A replica confirms commits from
//! its start, also while its first heartbeat is delayed. So this condition counts only once the replicas were listed and
//! the nodes were asked after the close, and only for a log that reaches the commits that nodes are known to have
//! acknowledged: if no known replica does, an unknown one has confirmed them, and it is waited for.
//!
//! If no condition is true, no server is promoted. Without sync replicas only the old primary's own log is known to be
//! complete, so after a delay the highest suspended log is used.
use quincehatch_core::{FencingToken, Name, Position};
use quincehatch_runtime::seam::injected_bug;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// The replication settings of a direct group, and the servers that may hold its acknowledged commits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SyncGroup {
    /// The number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: u64,
    /// Servers other than the old primary that may have received acknowledged commits. Some may be unknown to this
    /// node.
    pub holders: Vec<Name>,
    /// Servers that are draining. One of these is promoted only if no other server is eligible.
    pub draining: Vec<Name>,
    /// The primary's fencing token when the nodes' acknowledged positions were last gathered.
    pub gathered_fence: Option<FencingToken>,
}

/// A server that may be promoted.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The name of the server.
    pub server: Name,
    /// The end of its log.
    pub end: Position,
}

/// The inputs for choosing the server to promote.
#[derive(Clone, Debug)]
pub struct CandidateSelection<'a> {
    /// The replication settings of the group.
    pub group: &'a SyncGroup,
    /// The ends of all suspended logs, including the old primary's log if it is suspended.
    pub suspended: &'a BTreeMap<Name, Position>,
    /// The old primary, if there was one.
    pub old_primary: Option<&'a Name>,
    /// The highest position that any node acknowledged to clients; `None` until every node has reported its own.
    pub acknowledged_end: Option<Position>,
    /// Some acknowledged commit is at this position or beyond it.
    pub acknowledged_at_least: Position,
    /// Whether the known replicas are taken for all that may have confirmed commits.
    pub trust_listed_replicas: bool,
    /// Whether the delay for servers that do not answer has passed.
    pub delay_elapsed: bool,
}

impl CandidateSelection<'_> {
    /// Returns the lowest log end that is known to include every acknowledged commit, or `None` if that is not known.
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

    /// Returns the highest suspended end once the delay has passed. Without sync replicas no number of suspended
    /// replicas proves that a log is complete.
    fn highest_end_after_waiting(&self) -> Option<Position> {
        if !self.delay_elapsed {
            return None;
        }
        self.suspended.values().max().copied()
    }

    /// Returns the highest suspended end of the holders if fewer than `sync_replicas` of them are missing: then every
    /// acknowledged commit is on one of the suspended holders.
    fn highest_end_among_enough_holders(&self) -> Option<Position> {
        if !self.trust_listed_replicas {
            return None;
        }
        let holders = &self.group.holders;
        let missing = holders.iter().filter(|holder| !self.suspended.contains_key(*holder)).count() as u64;
        if missing >= self.group.sync_replicas {
            return None;
        }
        let highest = holders.iter().filter_map(|holder| self.suspended.get(holder)).max().copied();
        highest.map(|end| end.max(self.acknowledged_at_least))
    }

    /// Returns the best server among those that hold every acknowledged commit, or `None` while no server is known to.
    pub fn choose(&self, preferred: Option<&Name>) -> Option<Candidate> {
        let required = self.required_end()?;
        let eligible = self.suspended.iter().filter(|(_, end)| **end >= required);
        let candidates = eligible.map(|(server, end)| Candidate { server: server.clone(), end: *end });
        candidates.max_by(|a, b| self.compare(a, b, preferred))
    }

    /// Ranks a server that is not draining above one that is. Ties are broken, in this order, in favour of the
    /// preferred server, a server other than the old primary (which failed or is being handed over), the higher log end
    /// and the lower name.
    fn compare(&self, a: &Candidate, b: &Candidate, preferred: Option<&Name>) -> Ordering {
        let rank = |candidate: &Candidate| {
            let is_staying = !self.group.draining.contains(&candidate.server);
            let is_preferred = preferred == Some(&candidate.server);
            let is_other = self.old_primary != Some(&candidate.server);
            (is_staying, is_preferred, is_other, candidate.end)
        };
        rank(a).cmp(&rank(b)).then_with(|| b.server.cmp(&a.server))
    }
}
