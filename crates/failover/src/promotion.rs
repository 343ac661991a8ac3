//! Promotion of a new primary of one group under one fencing token. Nodes and the simulator run the same steps.
//!
//! A promotion acquires a fencing token, closes the group's assignment, fences servers until one of them is known to
//! hold every acknowledged commit, makes that server the primary and writes the assignment that names it.
mod candidate;
mod plan;
mod protocol;
mod requests;

pub use plan::{ListedServers, PromotionPlan};
pub use protocol::{Phase, PromotionAction, PromotionEvent};

use derive_more::Display;
use quincehatch_core::{FencingToken, Millis, Name, Position, PrimaryAssignment};
use std::collections::BTreeMap;

/// A promotion that has not finished within this time is abandoned; the next one starts under a higher fencing token.
pub const MAX_DURATION: Millis = 15_000;
/// A planned promotion of a pooled group waits at most this long for open transactions.
const POOLED_DRAIN_TIMEOUT: Millis = 1_500;
/// A planned promotion of a direct group waits at most this long until no request is in flight and a replica has
/// received the whole log.
const DIRECT_DRAIN_TIMEOUT: Millis = 600;
/// The promotion is abandoned if too few servers are fenced within this time.
const FENCE_TIMEOUT: Millis = 4_000;
/// The promotion is abandoned if the chosen server still cannot be promoted after this time.
const PROMOTE_TIMEOUT: Millis = 1_500;

/// The state of one promotion.
#[derive(Clone, Debug)]
pub struct Promotion {
    /// The plan that the promotion carries out.
    pub plan: PromotionPlan,
    /// The phase that the promotion is in.
    pub phase: Phase,
    /// The promotion's fencing token; 0 until one is acquired.
    pub fence: FencingToken,
    started_at: Millis,
    phase_started_at: Millis,
    requested_at: Millis,
    /// The log ends of the fenced servers.
    fenced: BTreeMap<Name, Position>,
    chosen: Option<Name>,
    /// The highest position that any node acknowledged to clients, once all nodes have reported.
    acknowledged_end: Option<Position>,
    /// Some acknowledged commit is at this position or beyond it; `None` until nodes were asked.
    acknowledged_at_least: Option<Position>,
    /// No commit that the nodes which were asked acknowledged is beyond this position.
    reported_end: Position,
    /// Whether the servers of a direct group were listed after the close.
    servers_listed: bool,
    /// The voter sets in force, as the store returned them with the closed assignment; empty before the first
    /// assignment.
    voter_sets: Vec<Vec<Name>>,
    failure: Option<PromotionFailure>,
    actions: Vec<PromotionAction>,
}

/// Why a promotion was abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[display("{reason} while {}", phase.label())]
pub struct PromotionFailure {
    /// The phase in which it was abandoned.
    pub phase: Phase,
    /// What ended it.
    pub reason: &'static str,
}

impl Promotion {
    /// Starts a promotion. Returns it with its first actions.
    pub fn new(now: Millis, plan: PromotionPlan) -> (Self, Vec<PromotionAction>) {
        let mut promotion = Self {
            plan,
            phase: Phase::AcquiringFence,
            fence: 0,
            started_at: now,
            phase_started_at: now,
            requested_at: 0,
            fenced: BTreeMap::new(),
            chosen: None,
            acknowledged_end: None,
            acknowledged_at_least: None,
            reported_end: Position::default(),
            servers_listed: false,
            voter_sets: Vec::new(),
            failure: None,
            actions: Vec::new(),
        };
        promotion.log("is begun");
        promotion.request(now);
        let actions = std::mem::take(&mut promotion.actions);
        (promotion, actions)
    }

    /// Whether the promotion has succeeded or was abandoned.
    pub fn is_finished(&self) -> bool {
        matches!(self.phase, Phase::Done | Phase::Failed)
    }

    /// Why the promotion was abandoned; `None` if it was not.
    pub fn failure(&self) -> Option<PromotionFailure> {
        self.failure
    }

    /// Processes an event. Returns the actions to carry out now.
    pub fn step(&mut self, now: Millis, event: PromotionEvent) -> Vec<PromotionAction> {
        if self.is_finished() {
            return Vec::new();
        }
        if event == PromotionEvent::Superseded {
            self.fail("was superseded by a higher fencing token");
        } else if now > self.started_at + MAX_DURATION {
            self.fail("timed out");
        } else {
            self.advance(now, event);
        }
        std::mem::take(&mut self.actions)
    }

    fn advance(&mut self, now: Millis, event: PromotionEvent) {
        self.apply(now, event);
        if self.phase == Phase::Draining && now >= self.phase_started_at + self.drain_timeout() {
            self.enter(now, Phase::Fencing);
        }
        if self.phase == Phase::Fencing {
            self.choose_candidate(now);
        }
        // The voters may have changed in the meantime; the next promotion reads them again.
        if self.phase == Phase::Fencing && now >= self.phase_started_at + FENCE_TIMEOUT {
            self.fail("could not fence enough servers");
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
            // The server may have been promoted although its answer was lost, so no other server may be promoted under
            // this fencing token. The request is repeated until the timeout; then the next promotion starts under a
            // higher token.
            (Phase::Promoting, PromotionEvent::ServerNotPromoted(_))
                if now >= self.phase_started_at + PROMOTE_TIMEOUT =>
            {
                self.fail("could not promote the chosen server");
            }
            (Phase::Naming, PromotionEvent::PrimaryAnnounced) => {
                self.phase = Phase::Done;
                self.log("is done");
            }
            (_, PromotionEvent::ServerFenced(server, end)) => {
                self.fenced.insert(server, end);
            }
            (_, PromotionEvent::AcknowledgedUpTo { end, at_least }) => {
                self.acknowledged_end = Some(end);
                self.record_reports(end, at_least);
            }
            (_, PromotionEvent::AcknowledgedInPart { end, at_least }) => self.record_reports(end, at_least),
            (Phase::Fencing, PromotionEvent::ServersListed(listed)) => self.servers_listed(listed),
            // A tick, or the answer to a request of an earlier phase.
            _ => {}
        }
    }

    fn primary_closed(&mut self, now: Millis, closed: &PrimaryAssignment) {
        self.voter_sets = closed.voter_sets();
        // An abandoned promotion may have resumed servers of a direct group, so only servers that are suspended under
        // the closed assignment count.
        if self.plan.sync_group.is_some() {
            self.fenced.clear();
        }
        self.enter(now, if self.plan.planned { Phase::Draining } else { Phase::Fencing });
    }

    fn record_reports(&mut self, end: Position, at_least: Position) {
        self.reported_end = self.reported_end.max(end);
        self.acknowledged_at_least = self.acknowledged_at_least.max(Some(at_least));
    }

    fn servers_listed(&mut self, listed: ListedServers) {
        if listed.servers.iter().any(|server| !self.plan.servers.contains(server)) {
            // A server that has joined is fenced at once.
            self.requested_at = 0;
        }
        self.plan.servers = listed.servers;
        self.plan.voters = listed.voters;
        self.plan.sync_group = Some(listed.sync_group);
        self.servers_listed = true;
    }

    fn drain_timeout(&self) -> Millis {
        if self.plan.sync_group.is_some() { DIRECT_DRAIN_TIMEOUT } else { POOLED_DRAIN_TIMEOUT }
    }

    fn enter(&mut self, now: Millis, phase: Phase) {
        self.phase = phase;
        self.phase_started_at = now;
        self.requested_at = 0;
        self.log(&format!("is {phase:?}").to_lowercase());
        self.request(now);
    }

    fn fail(&mut self, reason: &'static str) {
        self.log(reason);
        self.failure = Some(PromotionFailure { phase: self.phase, reason });
        self.phase = Phase::Failed;
    }

    fn log(&mut self, what: &str) {
        let line = format!("promotion in {} under fence {} {what}", self.plan.group, self.fence);
        self.actions.push(PromotionAction::Log(line));
    }
}
