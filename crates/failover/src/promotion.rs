//! Promotion of one group under one fence (§5.5). Sans-IO: the same steps run in a node and in the simulator.
pub use crate::words::{Phase, PromotionAction, PromotionEvent, PromotionPlan};
use quincehatch_core::{FencingToken, Millis, Name, Position, PrimaryAssignment};
use std::collections::{BTreeMap, BTreeSet};

mod synced;

/// A promotion that has not come to its end by then is begun anew under a higher fence.
pub const MAX_DURATION: Millis = 15_000;
/// Between two askings of the same thing.
const AGAIN: Millis = 300;
/// Between two countings of what is under way.
const COUNT: Millis = 20;
/// A planned hand-over waits for open transactions at most so long.
pub const DRAIN: Millis = 1_500;

/// The old primary counts towards a majority only after so long without one.
const OTHERS_FIRST: Millis = 1_000;
/// Without a majority of the group's servers fenced by then the promotion is given up.
const FENCE_FOR: Millis = 4_000;
/// A chosen server is asked this long to take the lead.
const PROMOTE_FOR: Millis = 1_500;

#[derive(Clone, Debug)]
pub struct Promotion {
    pub plan: PromotionPlan,
    pub phase: Phase,
    pub fence: FencingToken,
    began: Millis,
    since: Millis,
    asked: Millis,
    fenced: BTreeMap<Name, Position>,
    chosen: Option<Name>,
    /// The end of what nodes passed on as acknowledged, once all told.
    acked: Option<Position>,
    /// The lists that hold, as the chain told them once this fence had closed the lead; none before the first lead.
    lists: Vec<Vec<Name>>,
    out: Vec<PromotionAction>,
}

impl Promotion {
    pub fn new(now: Millis, plan: PromotionPlan) -> (Self, Vec<PromotionAction>) {
        let mut p = Self {
            plan,
            phase: Phase::AcquiringFence,
            fence: 0,
            began: now,
            since: now,
            asked: 0,
            fenced: BTreeMap::new(),
            chosen: None,
            acked: None,
            lists: Vec::new(),
            out: Vec::new(),
        };
        p.say("is begun");
        p.ask(now);
        let out = std::mem::take(&mut p.out);
        (p, out)
    }
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::Failed)
    }
    fn say(&mut self, s: &str) {
        self.out.push(PromotionAction::Log(format!(
            "promotion in {} under fence {} {s}",
            self.plan.group, self.fence
        )));
    }
    fn turn(&mut self, now: Millis, to: Phase) {
        self.phase = to;
        self.since = now;
        self.asked = 0;
        self.say(&format!("is {to:?}").to_lowercase());
        self.ask(now);
    }
    fn key(&self, what: &str) -> Name {
        format!("{}/{what}", self.plan.attempt).into()
    }
    /// What is written of the lead in this phase; which lists hold beside `counts` the chain knows itself (§5.5).
    fn lead(&self) -> PrimaryAssignment {
        let (server, counts) = match self.phase {
            Phase::Naming => (self.chosen.clone(), self.counts()),
            Phase::Listing => (None, self.counts()),
            _ => (None, vec![]),
        };
        let (closed, by) = (self.plan.old_primary.clone(), self.plan.coordinator.clone());
        PrimaryAssignment {
            fence: self.fence,
            server,
            demoted: closed,
            assigned_by: by,
            voters: counts,
            previous_voters: vec![],
        }
    }
    /// Whoever is chosen counts itself.
    fn counts(&self) -> Vec<Name> {
        let all: BTreeSet<&Name> = self.plan.voters.iter().chain(&self.chosen).collect();
        all.into_iter().cloned().collect()
    }

    /// What the present phase asks for, again and again until it is had.
    fn ask(&mut self, now: Millis) {
        let again = if self.phase == Phase::Draining { COUNT } else { AGAIN };
        if self.asked != 0 && now < self.asked + again {
            return;
        }
        self.asked = now.max(1);
        match self.phase {
            Phase::AcquiringFence => self.out.push(PromotionAction::AcquireFence { key: self.key("fence") }),
            Phase::Closing => {
                self.out.push(PromotionAction::WritePrimary { key: self.key("close"), primary: self.lead() });
                // An old primary that broke down has nothing to drain: fence while the close goes round.
                if !self.plan.planned {
                    self.fence_all();
                }
            }
            Phase::Draining => self.out.push(PromotionAction::CountInFlight),
            Phase::Fencing => {
                self.fence_all();
                self.out.extend(self.plan.sync_group.as_ref().map(|_| PromotionAction::QueryAcknowledged));
            }
            Phase::Listing => {
                self.out.push(PromotionAction::WritePrimary { key: self.key("list"), primary: self.lead() })
            }
            Phase::Promoting => {
                if let Some(server) = self.chosen.clone() {
                    let counts = self.counts();
                    self.out.push(PromotionAction::PromoteServer {
                        server,
                        fence: self.fence,
                        voters: counts,
                    });
                }
            }
            Phase::Naming => {
                self.out.push(PromotionAction::WritePrimary { key: self.key("name"), primary: self.lead() })
            }
            Phase::Done | Phase::Failed => {}
        }
    }
    fn fence_all(&mut self) {
        for s in self.plan.servers.clone() {
            // A log that stands still has been told once.
            if self.plan.sync_group.is_some() && self.fenced.contains_key(&s) {
                continue;
            }
            self.out.push(PromotionAction::FenceServer { server: s, fence: self.fence });
        }
    }

    pub fn step(&mut self, now: Millis, i: PromotionEvent) -> Vec<PromotionAction> {
        if self.is_finished() {
            return Vec::new();
        }
        if now > self.began + MAX_DURATION || i == PromotionEvent::Superseded {
            self.say(if i == PromotionEvent::Superseded {
                "was overtaken by a higher fence"
            } else {
                "took too long"
            });
            self.phase = Phase::Failed;
            return std::mem::take(&mut self.out);
        }
        match (self.phase, i) {
            (Phase::AcquiringFence, PromotionEvent::FenceAcquired(f)) => {
                self.fence = f;
                self.turn(now, Phase::Closing);
            }
            (Phase::Closing, PromotionEvent::PrimaryClosed(lead)) => {
                self.lists = lead.voter_sets();
                let next = if self.plan.planned { Phase::Draining } else { Phase::Fencing };
                // Held links' servers may be let go by whoever gave up before: what counts is seen under the close.
                if self.plan.sync_group.is_some() {
                    self.fenced.clear();
                }
                self.turn(now, next);
            }
            (Phase::Listing, PromotionEvent::VotersRecorded) => self.turn(now, Phase::Promoting),
            (Phase::Promoting, PromotionEvent::ServerPromoted(s)) if Some(&s) == self.chosen.as_ref() => {
                self.turn(now, Phase::Naming);
            }
            // It may have been promoted although no answer came, so nobody else may be under this fence:
            // the same server is asked again, and after a while all is begun anew under a higher one.
            (Phase::Promoting, PromotionEvent::ServerNotPromoted(_)) if now >= self.since + PROMOTE_FOR => {
                self.say("could not promote");
                self.phase = Phase::Failed;
                return std::mem::take(&mut self.out);
            }
            (Phase::Naming, PromotionEvent::PrimaryAnnounced) => {
                self.phase = Phase::Done;
                self.say("is done");
            }
            (Phase::Draining, PromotionEvent::Drained) => self.turn(now, Phase::Fencing),
            (_, PromotionEvent::ServerFenced(s, end)) => {
                self.fenced.insert(s, end);
            }
            (_, PromotionEvent::AcknowledgedUpTo(end)) => self.acked = Some(end),
            _ => {}
        }
        let drain = self.plan.sync_group.as_ref().map_or(DRAIN, |_| crate::sync::DRAIN);
        if self.phase == Phase::Draining && now >= self.since + drain {
            self.turn(now, Phase::Fencing);
        }
        if self.phase == Phase::Fencing {
            self.choose(now);
            // Whom a majority is taken of may have changed meanwhile: all begins anew (§5.5).
            if self.phase == Phase::Fencing && now >= self.since + FENCE_FOR {
                self.say("found no majority to fence");
                self.phase = Phase::Failed;
                return std::mem::take(&mut self.out);
            }
        }
        self.ask(now);
        std::mem::take(&mut self.out)
    }

    /// The highest log among all but one of every list holds every acknowledged commit, as each of those is on two of
    /// one of them (§5.5). The old primary is chosen only if there are not enough without it: it broke down, or it is
    /// to be relieved, and its log may well be the longest.
    fn choose(&mut self, now: Millis) {
        if self.plan.sync_group.is_some() {
            return self.choose_synced(now);
        }
        let lists = &self.lists;
        let enough = |of: &[(&Name, &Position)]| {
            let lacks = |l: &[Name]| l.iter().filter(|n| !of.iter().any(|(x, _)| x == n)).count();
            let each = !of.is_empty() && lists.iter().all(|l| lacks(l) <= 1);
            if lists.is_empty() { of.len() * 2 > self.plan.server_count } else { each }
        };
        // What an acknowledged commit is on counts under one of the lists; others may lack it.
        let counts = |n: &Name| lists.is_empty() || lists.iter().any(|l| l.contains(n));
        let pool: Vec<_> = self.fenced.iter().filter(|(n, _)| counts(n)).collect();
        let stays = self.plan.preferred.is_some() && self.plan.preferred == self.plan.old_primary;
        let others: Vec<_> = pool
            .iter()
            .copied()
            .filter(|(n, _)| stays || Some(*n) != self.plan.old_primary.as_ref())
            .collect();
        let waited = now >= self.since + OTHERS_FIRST && !self.plan.planned;
        let may: Vec<(&Name, &Position)> = match (enough(&others), waited) {
            (true, _) => others,
            (false, true) => pool,
            (false, false) => return,
        };
        if !enough(&may) {
            return;
        }
        let ends = may.iter().map(|(_, p)| **p);
        let top = if quincehatch_runtime::seam::injected_bug("short-log") { ends.min() } else { ends.max() }
            .unwrap_or_default();
        let best: Vec<Name> = may.iter().filter(|(_, p)| **p == top).map(|(n, _)| (*n).clone()).collect();
        let wanted = self.plan.preferred.as_ref().filter(|w| best.contains(w));
        self.chosen = wanted.or(best.first()).cloned();
        let s = self.chosen.clone().unwrap_or_default();
        self.say(&format!("chose {s} at {}.{} of {} fenced", top.fence, top.number, self.fenced.len()));
        // The server is told of no list that the chain does not have (§5.5).
        let listed =
            self.lists.last() == Some(&self.counts()) || quincehatch_runtime::seam::injected_bug("unlisted");
        self.turn(now, if listed { Phase::Promoting } else { Phase::Listing });
    }
}
