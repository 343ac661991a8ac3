//! Whom to promote where commits go by receiving replicas (§5.5), and when. Sans-IO.
//!
//! With `n` sync replicas a commit is acknowledged once the lead and `n` of its replicas have it, and the logs of one
//! term are prefixes of the lead's. A log that stands still (its replica suspended, the old lead demoted) gets nothing
//! more. So a log holds all that was or ever will be acknowledged if one of these is true:
//! - all but `n - 1` of the replicas that may hold commits stand still, and it reaches the highest of these: whatever
//!   was acknowledged is on `n` of them, so on one that was looked at; what is not can no longer be acknowledged;
//! - the old lead itself stands still, and it reaches the old lead's end;
//! - every node that may have passed on an acknowledgement told the end of what it passed on, and it reaches the
//!   highest of these; nodes pass on none since the close is in force.
//!
//! Otherwise nobody is promoted. Without sync replicas nothing is known of any log but the old lead's own: the highest
//! that can be had is taken after a while.
use crate::watch::{GroupObservation, PromotionNeed};
use quincehatch_core::{FencingToken, Millis, Name, Position};
use std::collections::BTreeMap;

/// The lead's STATUS unanswered this long is a silence.
pub const SILENT: Millis = 500;
/// ... and where nobody listens.
pub const DECLINED: Millis = 300;
pub const STALLED: Millis = 1_500;
pub const WRONG: Millis = 600;
/// No replica that answers has received, for so long, what the lead had then: it is cut off from them.
pub const CUT: Millis = 2_000;
/// A change of hands that another began stands still this long.
pub const STUCK: Millis = 4_000;
/// Without sync replicas the highest log is taken after so long.
pub const WAIT: Millis = 1_500;
/// A planned hand-over waits for open work, and for a replica that has all, at most so long.
pub const DRAIN: Millis = 600;

/// How a group's commits go, and which servers may hold them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Group {
    /// Replicas that a commit waits for.
    pub n: u64,
    /// Servers beside the old lead that may have received what was acknowledged, known here or not.
    pub holders: Vec<Name>,
    /// Servers that are about to end: promoted only where no other may be.
    pub leaving: Vec<Name>,
    /// The fence of the lead under which nodes' words were last gathered.
    pub lead: Option<FencingToken>,
}

/// What is known at the time of choosing.
#[derive(Clone, Debug)]
pub struct Case<'a> {
    pub group: &'a Group,
    /// Logs that stand still, the old lead's too if it does.
    pub still: &'a BTreeMap<Name, Position>,
    pub old: Option<&'a Name>,
    /// The end of what nodes passed on as acknowledged; none unless every one told.
    pub acked: Option<Position>,
    /// It was waited long enough for servers that do not answer.
    pub waited: bool,
}

impl Case<'_> {
    /// The end that holds all that was acknowledged, if any is known to.
    pub fn reach(&self) -> Option<Position> {
        let Group { n, holders, .. } = self.group;
        if quincehatch_runtime::seam::injected_bug("sync-any") {
            return Some(Position::default());
        }
        let by_old = self.old.and_then(|o| self.still.get(o)).copied();
        if *n == 0 {
            let highest = self.still.values().max().copied().filter(|_| self.waited);
            return [by_old, self.acked, highest].into_iter().flatten().min();
        }
        let missing = holders.iter().filter(|h| !self.still.contains_key(*h)).count() as u64;
        let top = holders.iter().filter_map(|h| self.still.get(h)).max().copied();
        let by_replicas = top.filter(|_| missing < *n);
        [by_old, self.acked, by_replicas].into_iter().flatten().min()
    }

    /// Whoever may be promoted: one that stays before one that leaves, then `want`, then one that is not the old lead,
    /// which ailed or is to be relieved, then the highest log.
    pub fn choose(&self, want: Option<&Name>) -> Option<(Name, Position)> {
        let reach = self.reach()?;
        let may = self.still.iter().filter(|(_, end)| **end >= reach);
        let rank = |s: &Name, end: Position| {
            let stays = !self.group.leaving.contains(s);
            (stays, want == Some(s), self.old != Some(s), end)
        };
        let best = may.max_by(|a, b| rank(a.0, *a.1).cmp(&rank(b.0, *b.1)).then_with(|| b.0.cmp(a.0)));
        best.map(|(s, end)| (s.clone(), *end))
    }
}

/// Whether a lead's log still gets to any replica: what it had at some moment, and no replica was seen with since.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mark {
    end: Position,
    at: Millis,
}

impl Mark {
    /// Takes when the lead and the others were last asked, and what they had received: for how long none got the mark,
    /// as seen from a replica that was asked since.
    pub fn behind(&mut self, lead: (Millis, Position), others: &[(Millis, Position)]) -> Millis {
        if self.at == 0 || lead.1 < self.end || others.iter().any(|(_, got)| *got >= self.end) {
            *self = Mark { at: lead.0, end: lead.1 };
        }
        let short = others.iter().filter(|(_, got)| *got < self.end);
        short.map(|(asked, _)| asked.saturating_sub(self.at)).max().unwrap_or(0)
    }
}

/// Is the lead dead by its STATUS, rather than stalled?
pub fn dead(s: &GroupObservation) -> bool {
    s.failing_for.is_some_and(|ms| ms >= if s.connection_refused { DECLINED } else { SILENT })
}

/// What a group needs whose lead the chain names; `heir`: a server that stays could take over in order.
pub fn need(s: &GroupObservation, heir: bool) -> PromotionNeed {
    let Some(lead) = &s.primary else { return PromotionNeed::Nothing };
    let over = |ms: Option<Millis>, most| ms.is_some_and(|ms| ms >= most);
    match &lead.server {
        _ if s.others_turn() => PromotionNeed::Nothing,
        None if s.primary_unchanged_for >= STUCK => PromotionNeed::Now { planned: false },
        None => PromotionNeed::Nothing,
        Some(_) if dead(s) || over(s.stalled_for, STALLED) => PromotionNeed::Confirm,
        Some(_) if over(s.not_primary_for, WRONG) => PromotionNeed::Now { planned: false },
        Some(_) if heir && (s.draining || s.requested_handover.is_some()) => {
            PromotionNeed::Now { planned: true }
        }
        Some(_) => PromotionNeed::Nothing,
    }
}
