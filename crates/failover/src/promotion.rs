//! Promotion of one group's primary under one fencing token. The same steps run in a node and in the simulator.
//!
//! A promotion acquires a fencing token, closes the group's assignment, fences servers until one is known to hold every
//! acknowledged commit, makes it the primary and writes the assignment that names it.
mod candidate;
mod plan;
mod protocol;
mod requests;

pub use plan::PromotionPlan;
pub use protocol::{Phase, PromotionAction, PromotionEvent};

use quincehatch_core::{FencingToken, Millis, Name, Position, PrimaryAssignment};
use std::collections::BTreeMap;

/// A promotion that has not ended by then is given up; the next begins under a higher fencing token.
pub const MAX_DURATION: Millis = 15_000;
/// A planned promotion of a pooled group waits this long for open transactions.
const POOLED_DRAIN_TIMEOUT: Millis = 1_500;
/// A planned promotion of a direct group waits this long for work in flight, and for a replica that has all of it.
const DIRECT_DRAIN_TIMEOUT: Millis = 600;
/// Without enough servers fenced by then the promotion is given up.
const FENCE_TIMEOUT: Millis = 4_000;
/// The chosen server is asked for this long to become the primary.
const PROMOTE_TIMEOUT: Millis = 1_500;

/// The state of one promotion.
#[derive(Clone, Debug)]
pub struct Promotion {
    /// What it sets out to do.
    pub plan: PromotionPlan,
    /// Where it stands.
    pub phase: Phase,
    /// Its fencing token; 0 until one is acquired.
    pub fence: FencingToken,
    began_at: Millis,
    phase_since: Millis,
    requested_at: Millis,
    /// Where the logs of fenced servers end.
    fenced: BTreeMap<Name, Position>,
    chosen: Option<Name>,
    /// The end of what nodes passed on as acknowledged, once all have reported.
    acknowledged_end: Option<Position>,
    /// The voter sets that hold, as the store gave them once the assignment was closed; none before the first.
    voter_sets: Vec<Vec<Name>>,
    actions: Vec<PromotionAction>,
}

impl Promotion {
    /// Begins a promotion. Returns it with its first actions.
    pub fn new(now: Millis, plan: PromotionPlan) -> (Self, Vec<PromotionAction>) {
        let mut promotion = Self {
            plan,
            phase: Phase::AcquiringFence,
            fence: 0,
            began_at: now,
            phase_since: now,
            requested_at: 0,
            fenced: BTreeMap::new(),
            chosen: None,
            acknowledged_end: None,
            voter_sets: Vec::new(),
            actions: Vec::new(),
        };
        promotion.log("is begun");
        promotion.request(now);
        let actions = std::mem::take(&mut promotion.actions);
        (promotion, actions)
    }

    /// Whether the promotion has succeeded or was given up.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::Failed)
    }

    /// Takes an event. Returns the actions to carry out now.
    pub fn step(&mut self, now: Millis, event: PromotionEvent) -> Vec<PromotionAction> {
        if self.is_finished() {
            return Vec::new();
        }
        if event == PromotionEvent::Superseded {
            self.fail("was superseded by a higher fencing token");
        } else if now > self.began_at + MAX_DURATION {
            self.fail("took too long");
        } else {
            self.advance(now, event);
        }
        std::mem::take(&mut self.actions)
    }

    fn advance(&mut self, now: Millis, event: PromotionEvent) {
        self.apply(now, event);
        if self.phase == Phase::Draining && now >= self.phase_since + self.drain_timeout() {
            self.enter(now, Phase::Fencing);
        }
        if self.phase == Phase::Fencing {
            self.choose_candidate(now);
        }
        // The voters may have changed meanwhile: the next promotion reads them anew.
        if self.phase == Phase::Fencing && now >= self.phase_since + FENCE_TIMEOUT {
            self.fail("found no majority to fence");
        }
        self.request(now);
    }

    fn apply(&mut self, now: Millis, event: PromotionEvent) {
        match (self.phase, event) {
            (Phase::AcquiringFence, PromotionEvent::FenceAcquired(fence)) => {
                self.fence = fence;
                self.enter(now, Phase::Closing);
            }
            (Phase::Closing, PromotionEvent::PrimaryClosed(primary)) => self.primary_closed(now, &primary),
            (Phase::Draining, PromotionEvent::Drained) => self.enter(now, Phase::Fencing),
            (Phase::Listing, PromotionEvent::VotersRecorded) => self.enter(now, Phase::Promoting),
            (Phase::Promoting, PromotionEvent::ServerPromoted(server))
                if Some(&server) == self.chosen.as_ref() =>
            {
                self.enter(now, Phase::Naming);
            }
            // The server may have been promoted although no answer came, so no other may be under this fencing token:
            // the same one is asked again, and after a while the next promotion begins under a higher token.
            (Phase::Promoting, PromotionEvent::ServerNotPromoted(_))
                if now >= self.phase_since + PROMOTE_TIMEOUT =>
            {
                self.fail("could not promote");
            }
            (Phase::Naming, PromotionEvent::PrimaryAnnounced) => {
                self.phase = Phase::Done;
                self.log("is done");
            }
            (_, PromotionEvent::ServerFenced(server, end)) => {
                self.fenced.insert(server, end);
            }
            (_, PromotionEvent::AcknowledgedUpTo(end)) => self.acknowledged_end = Some(end),
            // An answer to a request of an earlier phase, or a tick.
            _ => {}
        }
    }

    fn primary_closed(&mut self, now: Millis, closed: &PrimaryAssignment) {
        self.voter_sets = closed.voter_sets();
        // Servers of a direct group may have been resumed by a promotion that was given up: only what is suspended
        // under the closed assignment counts.
        if self.plan.sync_group.is_some() {
            self.fenced.clear();
        }
        self.enter(now, if self.plan.planned { Phase::Draining } else { Phase::Fencing });
    }

    fn drain_timeout(&self) -> Millis {
        if self.plan.sync_group.is_some() { DIRECT_DRAIN_TIMEOUT } else { POOLED_DRAIN_TIMEOUT }
    }

    fn enter(&mut self, now: Millis, phase: Phase) {
        self.phase = phase;
        self.phase_since = now;
        self.requested_at = 0;
        self.log(&format!("is {phase:?}").to_lowercase());
        self.request(now);
    }

    fn fail(&mut self, reason: &str) {
        self.log(reason);
        self.phase = Phase::Failed;
    }

    fn log(&mut self, what: &str) {
        let line = format!("promotion in {} under fence {} {what}", self.plan.group, self.fence);
        self.actions.push(PromotionAction::Log(line));
    }
}
